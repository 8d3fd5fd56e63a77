#include "cassiabend/base/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cassiabend {
namespace {

void SetOption(int socket, int level, int name, std::int64_t value) noexcept {
  const int n = static_cast<int>(value);
  (void)::setsockopt(socket, level, name, &n, sizeof(n));
}

}  // namespace

void SetSocketOptions(int socket, const DeadPeerDetection& detection) noexcept {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, detection.idle.count());
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, detection.interval.count());
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, detection.probes);
  if (detection.user_timeout > Milliseconds(0)) {
    SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
              detection.user_timeout.count());
  }
}

}  // namespace cassiabend
