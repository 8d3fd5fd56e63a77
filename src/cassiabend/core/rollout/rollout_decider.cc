#include "cassiabend/core/rollout/rollout_decider.h"

#include <algorithm>
#include <utility>

#include "cassiabend/base/hash.h"
#include "cassiabend/core/rollout/rollout_orders.h"
#include "cassiabend/core/rollout/rollout_plan.h"

namespace cassiabend {
namespace {

/// Nodes that judge one roll-out.
constexpr std::size_t kJudges = 2;
/// Time for which the second judge leaves a step to the first one.
constexpr Milliseconds kStepPatience{1'500};
constexpr Milliseconds kRollbackPatience{700};
/// Pause between a judge's reads of the state, which another may have changed.
constexpr Milliseconds kReadPeriod{2'000};
constexpr Milliseconds kCallTimeout{1'500};
constexpr Milliseconds kRetryLimit{1'000};
/// Shortest time at the whole share before a roll-out is completed.
constexpr Milliseconds kLastStepTime{1'000};
/// Time over which the rate of calls is measured before the first step.
constexpr double kRateSeconds = 1.0;

bool ServesVersion(const Member& member,
                   const RolloutOrder& order,
                   bool is_target) {
  return member.service == order.service &&
         member.upstream_state == UpstreamState::kServing &&
         !member.upstream_version.empty() &&
         (member.upstream_version == order.target_version) == is_target;
}

bool HasUpstream(const Membership& membership,
                 const RolloutOrder& order,
                 bool is_target) {
  return ServesVersion(membership.self(), order, is_target) ||
         std::ranges::any_of(membership.entries(), [&](const auto& it) {
           return IsLive(it.second.member.status) &&
                  ServesVersion(it.second.member, order, is_target);
         });
}

std::string_view ReasonOf(VersionFault fault) {
  return fault == VersionFault::kFailures ? "failures" : "times";
}

}  // namespace

std::vector<NodeId> RolloutDecider::JudgesOf(const DisseminationTree& tree,
                                             const std::string& service) {
  std::vector<std::pair<std::uint64_t, NodeId>> ranked;
  for (const auto& [zone, roots] : tree.all_roots()) {
    for (const NodeId& it : roots) {
      ranked.emplace_back(RendezvousWeight(service, ToString(it)), it);
    }
  }
  std::ranges::sort(ranked, std::greater<>());
  ranked.resize(std::min(ranked.size(), kJudges));
  std::vector<NodeId> out;
  out.reserve(ranked.size());
  for (auto& [rank, id] : ranked) {
    out.push_back(std::move(id));
  }
  return out;
}

RolloutDecider::Judged& RolloutDecider::JudgedOf(const Rollout& rollout) {
  Judged& judged = judged_[rollout.order.service];
  if (judged.order_revision != rollout.order_revision) {
    judged = Judged{};
    judged.order_revision = rollout.order_revision;
  }
  if (judged.step != rollout.step) {
    judged.step = rollout.step;
    judged.evidence.StartStep();
    judged.due_since.reset();
  }
  return judged;
}

void RolloutDecider::OnUsed(const FleetContext& context,
                            const DisseminationTree& tree,
                            const Membership& membership,
                            const RolloutTable& table,
                            const std::vector<VersionUse>& uses) {
  const NodeId& self = membership.self().id;
  std::map<NodeId, std::vector<VersionUse>> reports;
  for (const VersionUse& it : uses) {
    for (NodeId& judge : JudgesOf(tree, it.service)) {
      reports[std::move(judge)].push_back(it);
    }
  }
  for (auto& [judge, report] : reports) {
    if (judge == self) {
      OnReport(context, self, table, report);
    } else {
      context.Send(judge, VersionReportBody{std::move(report)});
    }
  }
}

void RolloutDecider::OnReport(const FleetContext& context,
                              const NodeId& from,
                              const RolloutTable& table,
                              const std::vector<VersionUse>& uses) {
  for (const VersionUse& it : uses) {
    const RolloutTable::Entry* entry = table.Find(it.service);
    if (entry == nullptr ||
        entry->rollout.order_revision != it.order_revision) {
      continue;
    }
    Judged& judged = JudgedOf(entry->rollout);
    judged.evidence.Add(context.now(), from, it);
    judged.reported_since = judged.reported_since.value_or(context.now());
  }
}

void RolloutDecider::Tick(const FleetContext& context,
                          const DisseminationTree& tree,
                          const Membership& membership,
                          RolloutTable* table) {
  if (context.options().rollout_codec == nullptr || !table->has_running()) {
    judged_.clear();
    return;
  }
  const RolloutTable::Entries entries = table->entries();
  for (const auto& [service, entry] : entries) {
    if (!entry.rollout.is_running()) {
      continue;
    }
    const std::vector<NodeId> judges = JudgesOf(tree, service);
    const auto place = std::ranges::find(judges, membership.self().id);
    if (place != judges.end() && IsLive(membership.self().status)) {
      Judge(context, membership,
            static_cast<std::size_t>(place - judges.begin()), entry, table);
    }
  }
}

void RolloutDecider::Judge(const FleetContext& context,
                           const Membership& membership,
                           std::size_t place,
                           const RolloutTable::Entry& entry,
                           RolloutTable* table) {
  const MonoTime now = context.now();
  const Rollout& rollout = entry.rollout;
  Judged& judged = JudgedOf(rollout);
  if (judged.call.IsOverdueAt(now)) {
    judged.call.Abandon();
    judged.status_revision.reset();
    judged.next_call_at = judged.backoff.NextAttemptTime(context, kRetryLimit);
  }
  if (judged.status_revision) {
    table->Vouch(context, rollout.order.service);
  }
  const bool is_halted = rollout.step == kHaltedStep;
  const VersionFault fault =
      is_halted ? VersionFault::kNone : judged.evidence.FindFault(now);
  if (fault != VersionFault::kNone) {
    context.Emit(RolloutDecided{Halted(rollout), ReasonOf(fault),
                                judged.evidence.Total()});
    table->Update(context, Halted(rollout));
    return;
  }
  if (judged.call.active() || now < judged.next_call_at) {
    return;
  }
  if (!judged.status_revision) {
    ReadState(context, rollout, &judged);
    return;
  }
  std::optional<Rollout> next = NextState(context, membership, entry, judged);
  if (!next) {
    judged.due_since.reset();
    if (now - judged.answered_at >= kReadPeriod) {
      ReadState(context, rollout, &judged);
    }
    return;
  }
  judged.due_since = judged.due_since.value_or(now);
  const Milliseconds patience = is_halted ? kRollbackPatience : kStepPatience;
  if (place == 0 || now - *judged.due_since >= patience) {
    WriteState(context, std::move(*next), &judged);
  }
}

std::optional<Rollout> RolloutDecider::NextState(
    const FleetContext& context,
    const Membership& membership,
    const RolloutTable::Entry& entry,
    const Judged& judged) {
  const MonoTime now = context.now();
  Rollout next = entry.rollout;
  if (next.step == kHaltedStep) {
    next.phase = RolloutPhase::kRolledBack;
    return next;
  }
  if (next.share_permille >= kWholeShare) {
    if (now - entry.changed_at < kLastStepTime ||
        !HaveAllLeftOld(context, membership, next, judged)) {
      return std::nullopt;
    }
    next.phase = RolloutPhase::kCompleted;
    return next;
  }
  if (next.step == 0) {
    // Says that the order is known.
    next.step = 1;
    return next;
  }
  const VersionComparison total = judged.evidence.Total();
  RolloutProgress progress;
  progress.elapsed = now - entry.ordered_at;
  progress.duration = next.order.duration;
  progress.at_step = now - entry.changed_at;
  progress.share_permille = next.share_permille;
  progress.new_answers = total.new_version.answers();
  progress.has_upstreams = HasUpstream(membership, next.order, true);
  progress.has_old_upstreams = HasUpstream(membership, next.order, false);
  const double seconds =
      std::chrono::duration<double>(now - judged.reported_since.value_or(now))
          .count();
  if (seconds < kRateSeconds) {
    return std::nullopt;
  }
  progress.calls_per_s =
      (total.old_version.answers() + total.new_version.answers()) / seconds;
  const auto share = NextShare(
      {context.options().rollout_permille, context.options().rollout_slack},
      progress);
  if (!share) {
    return std::nullopt;
  }
  next.share_permille = *share;
  ++next.step;
  return next;
}

bool RolloutDecider::HaveAllLeftOld(const FleetContext& context,
                                    const Membership& membership,
                                    const Rollout& rollout,
                                    const Judged& judged) {
  const auto has_left = [&](const NodeId& id) {
    return judged.evidence.HasLeftOld(context.now(), id, rollout.step);
  };
  return has_left(membership.self().id) &&
         std::ranges::all_of(membership.entries(), [&](const auto& it) {
           return it.second.member.status != MemberStatus::kAlive ||
                  has_left(it.first);
         });
}

void RolloutDecider::ReadState(const FleetContext& context,
                               const Rollout& rollout,
                               Judged* judged) {
  judged->written.reset();
  judged->call.Start(context,
                     StoreGet{context.options().rollout_codec->StatusKey(
                         rollout.order.service)},
                     kCallTimeout);
}

void RolloutDecider::WriteState(const FleetContext& context,
                                Rollout next,
                                Judged* judged) {
  const RolloutCodec& codec = *context.options().rollout_codec;
  judged->call.Start(
      context,
      StoreCompareAndSwap{codec.StatusKey(next.order.service),
                          *judged->status_revision, codec.EncodeStatus(next)},
      kCallTimeout);
  judged->written = std::move(next);
}

bool RolloutDecider::OnReply(const FleetContext& context,
                             const StoreReplied& replied,
                             RolloutTable* table) {
  for (auto& [service, judged] : judged_) {
    if (judged.call.Finish(replied.id.sequence)) {
      OnStateReply(context, replied.reply, service, table);
      return true;
    }
  }
  return false;
}

void RolloutDecider::OnStateReply(const FleetContext& context,
                                  const StoreReply& reply,
                                  const std::string& service,
                                  RolloutTable* table) {
  Judged& judged = judged_.at(service);
  const bool is_answer = reply.status == StoreStatus::kOk ||
                         reply.status == StoreStatus::kConflict;
  if (!is_answer) {
    judged.status_revision.reset();
    judged.next_call_at = judged.backoff.NextAttemptTime(context, kRetryLimit);
    return;
  }
  judged.backoff.Reset();
  judged.answered_at = context.now();
  judged.status_revision = reply.entry ? reply.entry->revision : 0;
  if (reply.status == StoreStatus::kOk && judged.written) {
    const Rollout written = std::move(*judged.written);
    context.Emit(RolloutDecided{written, "step", judged.evidence.Total()});
    table->Update(context, written);
    return;
  }
  const RolloutTable::Entry* known = table->Find(service);
  Rollout status;
  if (!reply.entry || known == nullptr ||
      !ReadStatus(context, *reply.entry, &status) ||
      status.order_revision != judged.order_revision) {
    return;
  }
  status.order = known->rollout.order;
  table->Update(context, status);
}

}  // namespace cassiabend
