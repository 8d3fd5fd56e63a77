#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "cassiabend/core/call_events.h"

namespace cassiabend {

/// \returns Within how long a large answer should have left, for its admission
/// and for its place among others: its objective, or a quarter of the time left
/// where that is missed, so that those that can be timely find room.
/// \param objective Time left to the objective, as an attempt carries it.
/// \param left Time left to the deadline.
[[nodiscard]] constexpr Milliseconds LinkAim(Milliseconds objective,
                                             Milliseconds left) noexcept {
  constexpr int kLateShare = 4;
  return objective > kMissedObjective ? std::min(objective, left)
                                      : left / kLateShare;
}

/// \brief What waits for this host's link, and how long an answer would take to
/// leave over it. Answers a narrow link that cannot carry the downloads of its
/// upstream: those that would come late are refused before they run, while the
/// upstream's slots would let all of them in.
class LinkQueue {
 public:
  void Note(const LinkLoadChanged& event) noexcept {
    waiting_bytes_ = event.waiting_bytes;
    bytes_per_second_ = event.bytes_per_second;
  }
  /// \brief Notes the size of an answer's body.
  void NoteAnswer(const std::string& request_class, std::uint64_t bytes);

  /// \returns Bytes that waited for the link when that was told last.
  [[nodiscard]] std::uint64_t waiting_bytes() const noexcept {
    return waiting_bytes_;
  }
  /// \returns Mean bytes of a class's answers where they are large; else 0.
  [[nodiscard]] std::uint64_t LargeBytesOf(
      const std::string& request_class) const;
  /// \returns Time that the link takes for large answers of `bytes`; 0 where
  /// its width is not known.
  [[nodiscard]] Nanoseconds TimeFor(std::uint64_t bytes) const noexcept;

 private:
  std::uint64_t waiting_bytes_ = 0;
  std::uint64_t bytes_per_second_ = 0;
  /// Mean bytes of the answers of each class.
  std::unordered_map<std::string, double> sizes_;
};

}  // namespace cassiabend
