#include "cassiabend/core/commit_plan.h"

#include <algorithm>
#include <set>
#include <type_traits>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/items.h"

namespace cassiabend {
namespace {

template <typename Item>
VersionNumber RevisionIn(const Config& config, const std::string& name) {
  const Item* item = FindItem(ItemsOf<Item>(config), name);
  return item == nullptr ? 0 : item->revision;
}

/// \returns The revision of an item, 0 when it is absent.
VersionNumber RevisionOf(const Config& config, const ItemRef& item) {
  switch (item.kind) {
    case ItemKind::kSite:
      return RevisionIn<Site>(config, item.name);
    case ItemKind::kService:
      return RevisionIn<Service>(config, item.name);
    case ItemKind::kRoute:
      return RevisionIn<Route>(config, item.name);
    case ItemKind::kWindow:
      return RevisionIn<QuietWindow>(config, item.name);
    case ItemKind::kTeam:
      return RevisionIn<Team>(config, item.name);
  }
  return 0;
}

/// \returns The refusal of the first edit whose item does not have the expected
/// revision; unset when there is none.
std::optional<CommitResult> CheckRevisions(const Config& base,
                                           const Change& change) {
  for (const Edit& it : change.edits) {
    if (!it.expected_revision) {
      continue;
    }
    const ItemRef target = TargetOf(it);
    const VersionNumber revision = RevisionOf(base, target);
    if (revision == *it.expected_revision) {
      continue;
    }
    CommitResult out = MakeRefusal(
        CommitCode::kConflict, PathOf(target),
        revision == 0 ? "the item does not exist"
                      : "version " + std::to_string(revision) +
                            " changed the item; the change expects " +
                            std::to_string(*it.expected_revision));
    out.conflict_number = revision == 0 ? base.number : revision;
    return out;
  }
  return std::nullopt;
}

std::optional<CommitResult> CheckRemovals(const Config& base,
                                          const Change& change) {
  for (const Edit& it : change.edits) {
    const auto* target = std::get_if<ItemRef>(&it.action);
    if (target == nullptr || RevisionOf(base, *target) != 0) {
      continue;
    }
    return MakeRefusal(CommitCode::kNotFound, PathOf(*target),
                       "the item to remove does not exist");
  }
  return std::nullopt;
}

Plan BuildVersion(const Snapshot* base,
                  VersionNumber number,
                  const std::vector<Edit>& edits,
                  const ChangeId& change_id,
                  const std::string& author) {
  const Config empty;
  const Config& from = base == nullptr ? empty : base->config();
  try {
    NextVersion out;
    out.snapshot = RefPtr<const Snapshot>(
        new Snapshot(ApplyEditsAs(number, from, edits, change_id, author)));
    if (base != nullptr) {
      out.delta = ConfigDelta{.base = base->mark(),
                              .mark = out.snapshot->mark(),
                              .change_id = change_id,
                              .author = author,
                              .edits = edits};
    }
    return out;
  } catch (const ModelError& e) {
    return MakeRefusal(CommitCode::kInvalid, e.where(), e.why());
  }
}

VersionNumber NumberOf(const Snapshot* base) noexcept {
  return base == nullptr ? 0 : base->mark().number;
}

}  // namespace

CommitResult MakeRefusal(CommitCode code,
                         std::string path,
                         std::string reason) {
  CommitResult out;
  out.code = code;
  out.path = std::move(path);
  out.reason = std::move(reason);
  return out;
}

std::optional<CommitResult> CheckChange(const Change& change) {
  if (change.id.IsZero()) {
    return MakeRefusal(CommitCode::kInvalid, "change.id",
                       "the change id must not be zero");
  }
  if (change.edits.empty()) {
    return MakeRefusal(CommitCode::kInvalid, "change.edits",
                       "the change has no edits");
  }
  std::set<ItemRef> targets;
  for (const Edit& it : change.edits) {
    const ItemRef target = TargetOf(it);
    if (!targets.insert(target).second) {
      return MakeRefusal(CommitCode::kInvalid, PathOf(target),
                         "two edits of the change concern this item");
    }
  }
  return std::nullopt;
}

Plan PlanChange(const Snapshot* base, const Change& change) {
  const Config empty;
  const Config& from = base == nullptr ? empty : base->config();
  if (auto refusal = CheckRevisions(from, change)) {
    return *std::move(refusal);
  }
  if (auto refusal = CheckRemovals(from, change)) {
    return *std::move(refusal);
  }
  return BuildVersion(base, NumberOf(base) + 1, change.edits, change.id,
                      change.author);
}

Plan PlanRollback(const Snapshot& base,
                  const Snapshot& earlier,
                  const ChangeId& change_id,
                  const std::string& author) {
  return BuildVersion(&base, base.mark().number + 1,
                      Difference(base.config(), earlier.config()), change_id,
                      author);
}

Plan PlanRecovery(const Snapshot& newest,
                  VersionNumber store_number,
                  const ChangeId& change_id,
                  const std::string& author) {
  const VersionNumber number = std::max(newest.mark().number, store_number) + 1;
  return BuildVersion(&newest, number, {}, change_id, author);
}

std::optional<VersionMark> FindChange(const Head& head, const ChangeId& id) {
  const auto found =
      std::ranges::find(head.recent, id, &CommittedChange::change_id);
  if (found == head.recent.end()) {
    return std::nullopt;
  }
  VersionMark out{.number = found->number};
  for (const HistoryEntry& it : head.history) {
    if (it.mark.number == out.number) {
      out.hash = it.mark.hash;
    }
  }
  return out;
}

}  // namespace cassiabend
