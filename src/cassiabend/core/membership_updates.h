#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "cassiabend/core/member.h"

namespace cassiabend {

/// \brief Maximum size of a datagram in bytes, without IP and UDP headers.
inline constexpr std::size_t kDatagramLimitBytes = 1'200;
/// \brief Size of a datagram that carries no updates, in bytes.
inline constexpr std::size_t kDatagramBaseBytes = 176;

/// \returns An upper bound on the encoded size of `member` in bytes.
[[nodiscard]] std::size_t EncodedBytesBound(const Member& member) noexcept;

/// \brief Ids of the members whose records still have to be gossiped, ordered
/// by the number of times that each was sent, fewest first.
class UpdateQueue {
 public:
  [[nodiscard]] bool empty() const noexcept { return order_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return order_.size(); }

  /// \brief Queues the record of `id`, with its number of sends reset.
  void Add(const NodeId& id);
  void Remove(const NodeId& id);
  void Clear() noexcept;

  /// \brief Offers ids to `fits` until it returns false, and counts a send for
  /// each accepted id; an id leaves the queue after `max_sends` sends.
  void SelectForSend(std::uint32_t max_sends,
                     const std::function<bool(const NodeId&)>& fits);

 private:
  std::set<std::pair<std::uint32_t, NodeId>> order_;
  std::map<NodeId, std::uint32_t> sends_;
};

}  // namespace cassiabend
