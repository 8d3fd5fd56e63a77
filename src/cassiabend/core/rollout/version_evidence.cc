#include "cassiabend/core/rollout/version_evidence.h"

namespace cassiabend {
namespace {

constexpr Milliseconds kSlotTime{500};
/// Fewest answers of the old version of late; with fewer all of its answers
/// since the order are compared.
constexpr std::uint32_t kMinOldAnswers = 10;
/// Age up to which a report tells how far a node has come.
constexpr Milliseconds kReportLifetime{3'000};

std::int64_t SlotAt(MonoTime now) {
  return now.time_since_epoch() / Nanoseconds(kSlotTime);
}

}  // namespace

void VersionEvidence::Add(MonoTime now,
                          const NodeId& from,
                          const VersionUse& use) {
  Reporter& reporter = reporters_[from];
  reporter.step = use.step;
  reporter.uses_old = use.uses_old;
  reporter.heard_at = now;
  const std::int64_t number = SlotAt(now);
  Slot& slot = recent_.at(static_cast<std::size_t>(number) % kSlots);
  if (slot.number != number) {
    slot = {number, {}};
  }
  for (const VersionUse::Class& it : use.classes) {
    VersionComparison& before = reporter.counts[it.request_class];
    const VersionComparison added = it.counts.Since(before);
    before = it.counts;
    whole_[it.request_class] += added;
    at_step_[it.request_class] += added;
    slot.counts[it.request_class] += added;
  }
}

void VersionEvidence::StartStep() {
  at_step_.clear();
  recent_ = {};
}

VersionFault VersionEvidence::FindFault(MonoTime now) const {
  ByClass recent;
  const std::int64_t oldest = SlotAt(now) - static_cast<std::int64_t>(kSlots);
  for (const Slot& slot : recent_) {
    if (slot.number <= oldest) {
      continue;
    }
    for (const auto& [request_class, counts] : slot.counts) {
      recent[request_class] += counts;
    }
  }
  for (const ByClass& counts : {recent, at_step_}) {
    const VersionFault fault = FindFaultIn(counts);
    if (fault != VersionFault::kNone) {
      return fault;
    }
  }
  return VersionFault::kNone;
}

VersionFault VersionEvidence::FindFaultIn(const ByClass& counts) const {
  for (const auto& [request_class, it] : counts) {
    const VersionCounts& old = it.old_version.answers() >= kMinOldAnswers
                                   ? it.old_version
                                   : whole_.at(request_class).old_version;
    const VersionFault fault = cassiabend::FindFault(it.new_version, old);
    if (fault != VersionFault::kNone) {
      return fault;
    }
  }
  return VersionFault::kNone;
}

VersionComparison VersionEvidence::Total() const {
  VersionComparison sum;
  for (const auto& [request_class, counts] : whole_) {
    sum += counts;
  }
  return sum;
}

bool VersionEvidence::HasLeftOld(MonoTime now,
                                 const NodeId& node,
                                 std::uint32_t step) const {
  const auto it = reporters_.find(node);
  return it != reporters_.end() && it->second.step == step &&
         !it->second.uses_old && now - it->second.heard_at <= kReportLifetime;
}

}  // namespace cassiabend
