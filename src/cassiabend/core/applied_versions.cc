#include "cassiabend/core/applied_versions.h"

#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/delta.h"

namespace cassiabend {
namespace {

/// Number of deltas kept for peers that are a few versions behind.
constexpr std::size_t kKeptDeltas = 8;

}  // namespace

bool AppliedVersions::Covers(const VersionMark& mark) const noexcept {
  const VersionMark own = this->mark();
  return own.number > mark.number || own == mark;
}

DeltaPtr AppliedVersions::DeltaFrom(const VersionMark& base) const noexcept {
  for (const DeltaPtr& it : deltas_) {
    if (it->delta().base == base) {
      return it;
    }
  }
  return nullptr;
}

DeltaPtr AppliedVersions::LatestDelta() const noexcept {
  const bool held = !deltas_.empty() && deltas_.back()->delta().mark == mark();
  return held ? deltas_.back() : nullptr;
}

OfferResult AppliedVersions::OfferFull(const FleetContext& context,
                                       const VersionMark& mark,
                                       const RefPtr<const Snapshot>& snapshot) {
  const OfferResult order = CheckMark(mark);
  if (order != OfferResult::kApplied) {
    return order;
  }
  if (!snapshot || snapshot->mark() != mark) {
    ++refusals_.damaged;
    return OfferResult::kDamaged;
  }
  Apply(context, snapshot);
  return OfferResult::kApplied;
}

void AppliedVersions::OfferFullAndDeriveDelta(
    const FleetContext& context,
    const RefPtr<const Snapshot>& snapshot) {
  const RefPtr<const Snapshot> before = newest_;
  const OfferResult result = OfferFull(context, snapshot->mark(), snapshot);
  if (result != OfferResult::kApplied || !before) {
    return;
  }
  if (auto delta = ComputeDelta(*before, *snapshot)) {
    KeepDelta(ShareDelta(*std::move(delta)));
  }
}

OfferResult AppliedVersions::OfferDelta(const FleetContext& context,
                                        const VersionMark& mark,
                                        const DeltaPtr& shared) {
  const ConfigDelta& delta = shared->delta();
  const OfferResult order = CheckMark(mark);
  if (order != OfferResult::kApplied) {
    return order;
  }
  if (delta.mark != mark) {
    ++refusals_.damaged;
    return OfferResult::kDamaged;
  }
  if (!newest_ || delta.base != newest_->mark()) {
    return OfferResult::kNoBase;
  }
  try {
    Apply(context, ApplyDelta(*newest_, delta));
  } catch (const ModelError&) {
    ++refusals_.damaged;
    return OfferResult::kDamaged;
  }
  KeepDelta(shared);
  return OfferResult::kApplied;
}

void AppliedVersions::KeepDelta(const DeltaPtr& shared) {
  const ConfigDelta& delta = shared->delta();
  if (delta.mark != mark() || delta.base.number >= delta.mark.number ||
      DeltaFrom(delta.base) != nullptr) {
    return;
  }
  deltas_.push_back(shared);
  if (deltas_.size() > kKeptDeltas) {
    deltas_.pop_front();
  }
}

OfferResult AppliedVersions::CheckMark(const VersionMark& mark) noexcept {
  const VersionMark own = this->mark();
  if (mark.number > own.number) {
    return OfferResult::kApplied;
  }
  if (mark == own) {
    return OfferResult::kSame;
  }
  if (mark.number == own.number) {
    ++refusals_.forks;
    return OfferResult::kFork;
  }
  return OfferResult::kOlder;
}

void AppliedVersions::Apply(const FleetContext& context,
                            RefPtr<const Snapshot> snapshot) {
  newest_ = std::move(snapshot);
  context.Emit(ApplyVersion{newest_});
}

}  // namespace cassiabend
