#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "cassiabend/core/member.h"

namespace cassiabend {

/// \brief Largest size of a datagram, in bytes, headers of IP and UDP left out.
inline constexpr std::size_t kDatagramLimitBytes = 1'200;
/// \brief Size of a datagram that carries no updates, in bytes.
inline constexpr std::size_t kDatagramBaseBytes = 176;

/// \returns An upper bound of the encoded size of `member`, in bytes.
[[nodiscard]] std::size_t EncodedBytesBound(const Member& member) noexcept;

/// \brief Names of the members whose statements still have to be passed on,
/// those that were sent least often first.
class UpdateQueue {
 public:
  [[nodiscard]] bool empty() const noexcept { return order_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return order_.size(); }

  /// \brief Queues the statement about `id` anew.
  void Add(const NodeId& id);
  void Remove(const NodeId& id);
  void Clear() noexcept;

  /// \brief Takes names until `fits` refuses one; each is taken `max_sends`
  /// times in all.
  void Take(std::uint32_t max_sends,
            const std::function<bool(const NodeId&)>& fits);

 private:
  std::set<std::pair<std::uint32_t, NodeId>> order_;
  std::map<NodeId, std::uint32_t> sends_;
};

}  // namespace cassiabend
