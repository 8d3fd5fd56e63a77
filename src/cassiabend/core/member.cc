#include "cassiabend/core/member.h"

#include <charconv>
#include <tuple>

namespace cassiabend {

bool ParseNodeId(std::string_view text, NodeId* id) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const std::string_view digits = text.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  std::uint16_t port = 0;
  const auto [it, ec] = std::from_chars(digits.data(), end, port);
  if (ec != std::errc() || it != end || port == 0) {
    return false;
  }
  id->ip = text.substr(0, colon);
  id->peer_port = port;
  return true;
}

bool Supersedes(const Member& a, const Member& b) noexcept {
  return std::tie(a.start_id, a.revision, a.status) >
         std::tie(b.start_id, b.revision, b.status);
}

}  // namespace cassiabend
