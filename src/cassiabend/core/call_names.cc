#include <array>

#include "cassiabend/core/call_events.h"

namespace cassiabend {
namespace {

constexpr std::array<std::string_view, 18> kNotRunReasonNames = {
    "no_route",
    "not_ready",
    "no_upstream",
    "overloaded",
    "share_exceeded",
    "quiet_window",
    "stale_configuration",
    "unknown_site",
    "draining",
    "deadline",
    "restarted",
    "cancelled",
    "unreachable",
    "depth_exceeded",
    "bad_request",
    "store_unavailable",
    "unknown_key",
    "allotment_exceeded",
};
static_assert(kNotRunReasonNames.size() ==
              static_cast<std::size_t>(NotRunReason::kAllotmentExceeded) + 1);

}  // namespace

std::string_view NameOf(NotRunReason reason) noexcept {
  return kNotRunReasonNames.at(static_cast<std::size_t>(reason));
}

std::optional<NotRunReason> NotRunReasonByName(std::string_view name) noexcept {
  for (std::size_t i = 0; i < kNotRunReasonNames.size(); ++i) {
    if (kNotRunReasonNames.at(i) == name) {
      return static_cast<NotRunReason>(i);
    }
  }
  return std::nullopt;
}

}  // namespace cassiabend
