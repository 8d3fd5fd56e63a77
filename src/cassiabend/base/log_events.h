#pragma once

#include <algorithm>
#include <array>
#include <string_view>

namespace cassiabend {

/// \brief Names of all events that a node logs, in alphabetical order. They are
/// part of the interface to operators; docs/OPERATIONS.md explains each.
inline constexpr auto kNodeLogEvents = std::to_array<std::string_view>({
    "accept_failed",     "attempt_refused",
    "call_answered",     "call_failed",
    "call_late",         "change_finished",
    "heartbeat_refused", "log_lines_dropped",
    "member_changed",    "peer_call_failed",
    "peer_lost",         "peer_regained",
    "reader_changed",    "readiness_changed",
    "rollout_decided",   "rollout_refused",
    "settings_refused",  "settings_reloaded",
    "shutdown_started",  "shutdown_timed_out",
    "started",           "stopped",
    "store_call_failed", "store_call_refused",
    "store_lost",        "store_regained",
    "store_restored",    "upstream_state_changed",
    "version_applied",   "version_part_refused",
    "version_refused",
});
static_assert(std::ranges::is_sorted(kNodeLogEvents),
              "kNodeLogEvents must be sorted");

}  // namespace cassiabend
