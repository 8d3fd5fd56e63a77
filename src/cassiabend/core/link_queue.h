#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "cassiabend/core/call_events.h"

namespace cassiabend {

/// \returns The time within which a large answer should be sent, for its
/// admission and for its position among others: the time left to its objective
/// or, if that is missed or there is none, a quarter of the time left to the
/// deadline, so that answers that can still be on time find room.
/// \param objective Time left to the objective, as in an attempt.
/// \param left Time left to the deadline.
[[nodiscard]] constexpr Milliseconds LinkTimeLimit(Milliseconds objective,
                                                   Milliseconds left) noexcept {
  constexpr int kLateShare = 4;
  return objective > kMissedObjective ? std::min(objective, left)
                                      : left / kLateShare;
}

/// \brief Estimates how long an answer takes to be sent over this host's
/// network link, behind those that wait for it. If a narrow link cannot carry
/// the downloads of its upstream, attempts whose answers would be late are
/// refused before they run; the upstream's slots alone would admit all of them.
class LinkQueue {
 public:
  void OnLoadChanged(const LinkLoadChanged& event) noexcept {
    waiting_bytes_ = event.waiting_bytes;
    bytes_per_second_ = event.bytes_per_second;
  }
  /// \brief Records the size of an answer's body.
  void RecordAnswerSize(const std::string& request_class, std::uint64_t bytes);

  /// \returns Bytes that waited for the link at the last change of the backlog.
  [[nodiscard]] std::uint64_t waiting_bytes() const noexcept {
    return waiting_bytes_;
  }
  /// \returns Mean size in bytes of the class's answers if they are large; else
  /// 0.
  [[nodiscard]] std::uint64_t LargeBytesOf(
      const std::string& request_class) const;
  /// \returns Time that the link takes to send large answers of `bytes`; 0 if
  /// its bandwidth is not known.
  [[nodiscard]] Nanoseconds SendTime(std::uint64_t bytes) const noexcept;

 private:
  std::uint64_t waiting_bytes_ = 0;
  std::uint64_t bytes_per_second_ = 0;
  /// Mean bytes of the answers of each class.
  std::unordered_map<std::string, double> sizes_;
};

}  // namespace cassiabend
