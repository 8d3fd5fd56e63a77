#include "cassiabend/core/queueing/inner_calls.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace cassiabend {
namespace {

/// Evidence from which a route counts as an inner one: chance brings as much
/// once in e^14, about a million, attempts.
constexpr double kMinEvidence = 14.0;
/// Least share of the other routes' attempts that come from hosts from which
/// the route gets none; less may be due to the places of the hosts.
constexpr double kMinMissingShare = 0.2;
/// Attempts after which counts are halved: some seconds of a busy upstream.
constexpr double kRouteMemory = 512;
constexpr double kMemory = 4'096;
/// A count that has aged below this is no longer evidence.
constexpr double kLeastCount = 0.5;
/// Most names that are kept, so that the tables cannot grow without bound.
constexpr std::size_t kMaxRoutes = 1'024;
constexpr std::size_t kMaxServices = 64;

}  // namespace

void InnerCalls::Callers::Add(const std::string& service) {
  const auto it = attempts.find(service);
  if (it != attempts.end()) {
    ++it->second;
  } else if (attempts.size() < kMaxServices) {
    attempts.emplace(service, 1.0);
  } else {
    return;
  }
  ++total;
}

void InnerCalls::Callers::Age(double limit) {
  if (total < limit) {
    return;
  }
  total = 0;
  for (auto it = attempts.begin(); it != attempts.end();) {
    it->second /= 2;
    total += it->second;
    it = it->second < kLeastCount ? attempts.erase(it) : std::next(it);
  }
}

void InnerCalls::Record(const AttemptRequest& request) {
  if (mode_ != InnerCallMode::kLearnt) {
    return;
  }
  states_depth_ = states_depth_ || request.depth > 0;
  if (by_route_.size() >= kMaxRoutes && !by_route_.contains(request.route)) {
    return;
  }
  Callers& route = by_route_[request.route];
  route.Add(request.caller_service);
  route.Age(kRouteMemory);
  all_.Add(request.caller_service);
  all_.Age(kMemory);
}

bool InnerCalls::IsInner(const AttemptRequest& request) const {
  if (mode_ == InnerCallMode::kOff || request.depth > 0) {
    return mode_ != InnerCallMode::kOff;
  }
  if (states_depth_) {
    return false;
  }
  const auto it = by_route_.find(request.route);
  return it != by_route_.end() && EvidenceOf(it->second) >= kMinEvidence;
}

double InnerCalls::EvidenceOf(const Callers& route) const {
  double others = 0;
  double missing = 0;
  for (const auto& [service, n] : all_.attempts) {
    const auto own = route.attempts.find(service);
    const double rest =
        own == route.attempts.end() ? n : std::max(n - own->second, 0.0);
    others += rest;
    missing += own == route.attempts.end() ? rest : 0;
  }
  const double share = others > 0 ? missing / others : 0;
  // With few attempts of the other routes their callers are not known well.
  return share < kMinMissingShare ? 0 : std::min(route.total, others) * share;
}

}  // namespace cassiabend
