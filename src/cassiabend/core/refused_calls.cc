#include "cassiabend/core/refused_calls.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Largest difference between two deadlines of one caller: callers state whole
/// milliseconds, and a request takes some time to reach this node.
constexpr Milliseconds kTolerance{4};
/// Callers that retry sooner than this cannot be told from new ones, whose
/// deadlines may lie within the tolerance too.
constexpr Milliseconds kMinRetryDelay{2 * kTolerance};
/// Most refused calls that are kept per route, and most routes. Beyond these
/// limits the oldest call, or a new route, is left out, and its callers count
/// as new ones.
constexpr std::size_t kMaxCallsPerRoute = 256;
constexpr std::size_t kMaxRoutes = 1'024;

}  // namespace

void RefusedCalls::Record(const std::string& route,
                          MonoTime now,
                          MonoTime first_sent_at,
                          MonoTime caller_deadline) {
  if (!by_route_.contains(route) && by_route_.size() >= kMaxRoutes) {
    return;
  }
  std::deque<RefusedCall>& refused = by_route_[route];
  while (!refused.empty() && (refused.front().caller_deadline < now ||
                              refused.size() >= kMaxCallsPerRoute)) {
    refused.pop_front();
  }
  refused.push_back({now, first_sent_at, caller_deadline});
}

std::optional<MonoTime> RefusedCalls::TakeRetried(const std::string& route,
                                                  MonoTime now,
                                                  MonoTime caller_deadline) {
  const auto found = by_route_.find(route);
  if (found == by_route_.end()) {
    return std::nullopt;
  }
  std::deque<RefusedCall>& refused = found->second;
  const auto it = std::ranges::find_if(refused, [&](const RefusedCall& call) {
    const auto apart = std::chrono::abs(call.caller_deadline - caller_deadline);
    return apart <= kTolerance && now - call.refused_at >= kMinRetryDelay;
  });
  if (it == refused.end()) {
    return std::nullopt;
  }
  const MonoTime first_sent_at = it->first_sent_at;
  refused.erase(it);
  return first_sent_at;
}

}  // namespace cassiabend
