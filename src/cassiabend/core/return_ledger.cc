#include "cassiabend/core/return_ledger.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Largest difference between two deadlines of one caller: callers state whole
/// milliseconds, and a request takes some time to reach this node.
constexpr Milliseconds kTolerance{4};
/// Callers that retry sooner than this cannot be told from new ones, whose
/// deadlines may lie within the tolerance too.
constexpr Milliseconds kSoonest{2 * kTolerance};
/// Most refused calls that are kept per route, and most routes. Beyond these
/// limits the oldest call, or a new route, is left out, and its callers count
/// as new ones.
constexpr std::size_t kMaxCalls = 256;
constexpr std::size_t kMaxRoutes = 1'024;

}  // namespace

void ReturnLedger::Note(const std::string& route,
                        MonoTime now,
                        MonoTime asked_at,
                        MonoTime end) {
  if (!by_route_.contains(route) && by_route_.size() >= kMaxRoutes) {
    return;
  }
  std::deque<Refused>& refused = by_route_[route];
  while (!refused.empty() &&
         (refused.front().end < now || refused.size() >= kMaxCalls)) {
    refused.pop_front();
  }
  refused.push_back({now, asked_at, end});
}

std::optional<MonoTime> ReturnLedger::Take(const std::string& route,
                                           MonoTime now,
                                           MonoTime end) {
  const auto found = by_route_.find(route);
  if (found == by_route_.end()) {
    return std::nullopt;
  }
  std::deque<Refused>& refused = found->second;
  const auto it = std::ranges::find_if(refused, [&](const Refused& call) {
    const auto apart = std::chrono::abs(call.end - end);
    return apart <= kTolerance && now - call.refused_at >= kSoonest;
  });
  if (it == refused.end()) {
    return std::nullopt;
  }
  const MonoTime asked_at = it->asked_at;
  refused.erase(it);
  return asked_at;
}

}  // namespace cassiabend
