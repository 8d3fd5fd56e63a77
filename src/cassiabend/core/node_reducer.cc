#include "cassiabend/core/node_reducer.h"

#include <utility>

namespace cassiabend {
namespace {

/// \brief Visitor made of one function for each alternative of a variant.
template <typename... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace

NodeReducer::NodeReducer(const CoreOptions& options)
    : config_(options.config, options.seed),
      fleet_(options.fleet, options.self, options.seed + 1),
      calls_(options.calls, options.self, options.seed + 2) {}

Effects NodeReducer::Reduce(const Event& event) {
  Effects out;
  std::visit(
      Overloaded{
          [&](const ConfigEvent& it) { ReduceConfig(event.now, it, &out); },
          [&](const FleetEvent& it) { ReduceFleet(event.now, it, &out); },
          [&](const CallEvent& it) { ReduceCall(event.now, it, &out); },
      },
      event.body);
  return out;
}

void NodeReducer::ReduceConfig(const Instant& now,
                               const ConfigEvent& event,
                               Effects* out) {
  std::vector<ConfigEffect> effects;
  config_.Reduce(now, event, &effects);
  ForwardConfigEffects(now, std::move(effects), out);
}

void NodeReducer::ReduceFleet(const Instant& now,
                              const FleetEvent& event,
                              Effects* out) {
  std::vector<FleetEffect> effects;
  fleet_.Reduce(now, event, &effects);
  ForwardFleetEffects(now, std::move(effects), out);
  if (!std::holds_alternative<FleetTick>(event)) {
    return;
  }
  std::vector<ConfigEffect> config_effects;
  config_.Tick(now, &config_effects);
  ForwardConfigEffects(now, std::move(config_effects), out);
}

void NodeReducer::ReduceCall(const Instant& now,
                             const CallEvent& event,
                             Effects* out) {
  std::vector<CallEffect> effects;
  calls_.Reduce(now, event, &effects);
  ForwardCallEffects(now, std::move(effects), out);
}

void NodeReducer::ForwardConfigEffects(const Instant& now,
                                       std::vector<ConfigEffect> effects,
                                       Effects* out) {
  for (ConfigEffect& it : effects) {
    if (const auto* committed = std::get_if<VersionCommitted>(&it)) {
      ReduceFleet(now, *committed, out);
      continue;
    }
    out->emplace_back(std::move(it));
  }
}

void NodeReducer::ForwardFleetEffects(const Instant& now,
                                      std::vector<FleetEffect> effects,
                                      Effects* out) {
  for (FleetEffect& it : effects) {
    if (const auto* applied = std::get_if<ApplyVersion>(&it)) {
      config_.SetNewest(applied->snapshot);
      ReduceCall(now, *applied, out);
    } else if (const auto* confirmed = std::get_if<HeadConfirmed>(&it)) {
      ReduceCall(now, *confirmed, out);
    } else if (const auto* members = std::get_if<MembersChanged>(&it)) {
      ReduceCall(now, *members, out);
    } else if (const auto* load = std::get_if<MemberLoadReported>(&it)) {
      ReduceCall(now, *load, out);
      continue;
    } else if (const auto* links = std::get_if<UseLinksChanged>(&it)) {
      ReduceCall(now, *links, out);
      continue;
    } else if (const auto* report = std::get_if<UseReportReceived>(&it)) {
      ReduceCall(now, *report, out);
      continue;
    } else if (const auto* readiness = std::get_if<ReadinessChanged>(&it)) {
      ReduceCall(now, *readiness, out);
    } else if (const auto* rollouts = std::get_if<RolloutsChanged>(&it)) {
      ReduceCall(now, *rollouts, out);
      continue;
    }
    out->emplace_back(std::move(it));
  }
}

void NodeReducer::ForwardCallEffects(const Instant& now,
                                     std::vector<CallEffect> effects,
                                     Effects* out) {
  for (CallEffect& it : effects) {
    if (const auto* upstream = std::get_if<LocalUpstreamChanged>(&it)) {
      ReduceFleet(now, *upstream, out);
    }
    if (const auto* load = std::get_if<LocalLoadChanged>(&it)) {
      ReduceFleet(now, *load, out);
      continue;
    }
    if (auto* used = std::get_if<VersionsUsed>(&it)) {
      ReduceFleet(now, std::move(*used), out);
      continue;
    }
    if (const auto* report = std::get_if<SendUseReport>(&it)) {
      ReduceFleet(now, *report, out);
      continue;
    }
    out->emplace_back(std::move(it));
  }
}

}  // namespace cassiabend
