#pragma once

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief How soon the operating system detects that the peer of a TCP
/// connection is gone although it did not close the connection.
struct DeadPeerDetection {
  /// Idle time before the first keep-alive probe.
  Seconds idle{10};
  /// Time between keep-alive probes.
  Seconds interval{1};
  /// Unanswered probes after which the connection is closed.
  int probes = 3;
  /// Longest time that sent data may stay unacknowledged (TCP_USER_TIMEOUT); 0
  /// for the system's default.
  Milliseconds user_timeout{0};
};

/// \brief Makes a TCP socket send small messages without delay (TCP_NODELAY)
/// and detect a peer that is gone. Options that the system rejects keep their
/// defaults.
void SetSocketOptions(int socket, const DeadPeerDetection& detection) noexcept;

}  // namespace cassiabend
