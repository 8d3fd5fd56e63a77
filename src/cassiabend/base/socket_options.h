#pragma once

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief How soon the operating system finds that the other end of a TCP
/// connection has vanished without a word.
struct LossDetection {
  /// Idle time before the first keep-alive probe.
  Seconds idle{10};
  Seconds interval{1};
  /// Unanswered probes after which the connection ends.
  int probes = 3;
  /// Time for which sent data may stay unacknowledged; 0 for the system's own.
  Milliseconds unacknowledged{0};
};

/// \brief Sends small messages at once, and finds vanished ends. An option that
/// the system does not take leaves its default.
void SetSocketOptions(int socket, const LossDetection& detection) noexcept;

}  // namespace cassiabend
