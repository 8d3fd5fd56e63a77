#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cassiabend/core/call_reducer.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend::testing {

inline constexpr char kCallerTeam[] = "team-a";

/// \returns A route of "team-a" on "/NAME" to `service`.
inline Route MakeRoute(const std::string& name,
                       const std::string& service,
                       RepeatPolicy repeat) {
  Route route;
  route.name = name;
  route.team = kCallerTeam;
  route.path_prefix = "/" + name;
  route.service = service;
  route.request_class = name;
  route.repeat = repeat;
  route.timeout = Milliseconds(4'000);
  return route;
}

/// \returns A version with the routes "status" (repeatable), "orders" (once)
/// and "print" (once, noisy), all to service "svc". The site of "print",
/// "works", has a quiet window in [1,000 s, 2,000 s).
inline Config MakeConfig(VersionNumber number = 1) {
  Config config;
  config.number = number;
  config.sites = {{"works", kCallerTeam, "GMT+00"}};
  config.services = {{"svc", kCallerTeam}};
  config.routes = {MakeRoute("orders", "svc", RepeatPolicy::kOnce),
                   MakeRoute("print", "svc", RepeatPolicy::kOnce),
                   MakeRoute("status", "svc", RepeatPolicy::kRepeatable)};
  config.routes[1].noisy = true;
  config.routes[1].site = "works";
  config.routes[1].longest_job = Seconds(60);
  QuietWindow window;
  window.name = "night";
  window.team = kCallerTeam;
  window.site = "works";
  window.schedule =
      OnceSchedule{WallTime(Seconds(1'000)), WallTime(Seconds(2'000))};
  config.windows = {window};
  return config;
}

inline RefPtr<const Snapshot> MakeSnapshot(VersionNumber number = 1) {
  return RefPtr<const Snapshot>(new Snapshot(MakeConfig(number)));
}

inline Member MakeMember(int host, const std::string& zone = "a") {
  Member member;
  member.id = {"10.0.0." + std::to_string(host), 7000};
  member.call_port = 8000;
  member.region = "north";
  member.zone = zone;
  member.start_id = 100;
  member.service = "svc";
  member.slots = 2;
  member.upstream_state = UpstreamState::kServing;
  return member;
}

inline CallMetadata MakeMetadata(const std::string& route) {
  CallMetadata metadata;
  metadata.team = kCallerTeam;
  metadata.host = "shop";
  metadata.path = "/" + route;
  metadata.method = "GET";
  return metadata;
}

/// \brief A call reducer with a manual clock; keeps the effects of the last
/// event.
class CallNode {
 public:
  explicit CallNode(const Member& self,
                    const CallOptions& options = {},
                    std::uint64_t seed = 1)
      : self_(self), reducer_(options, self, seed) {
    now_.mono = MonoTime(Seconds(100));
    now_.wall = WallTime(Seconds(100));
  }

  /// \brief Brings the node into the state in which it serves calls.
  void MakeReady(const std::vector<Member>& members) {
    Do(ApplyVersion{MakeSnapshot()});
    Do(HeadConfirmed{now_.mono});
    Do(MembersChanged{members});
    Do(ReadinessChanged{true, ""});
  }

  [[nodiscard]] const Member& self() const noexcept { return self_; }
  [[nodiscard]] const Instant& now() const noexcept { return now_; }
  [[nodiscard]] CallCounts counts() const noexcept { return reducer_.counts(); }
  [[nodiscard]] const std::vector<CallEffect>& effects() const noexcept {
    return effects_;
  }

  const std::vector<CallEffect>& Do(const CallEvent& event) {
    effects_.clear();
    reducer_.Reduce(now_, event, &effects_);
    return effects_;
  }
  void Advance(Nanoseconds step) {
    now_.mono += step;
    now_.wall += std::chrono::duration_cast<Milliseconds>(step);
  }
  const std::vector<CallEffect>& Tick(Nanoseconds step) {
    Advance(step);
    return Do(CallTick{});
  }
  void SetWall(WallTime wall) { now_.wall = wall; }

  /// \returns The effect of type `T` of the last event; unset unless there is
  /// exactly one.
  template <typename T>
  [[nodiscard]] std::optional<T> Only() const {
    std::optional<T> found;
    for (const CallEffect& it : effects_) {
      const T* effect = std::get_if<T>(&it);
      if (effect == nullptr) {
        continue;
      }
      if (found) {
        return std::nullopt;
      }
      found = *effect;
    }
    return found;
  }

 private:
  Member self_;
  Instant now_;
  CallReducer reducer_;
  std::vector<CallEffect> effects_;
};

}  // namespace cassiabend::testing
