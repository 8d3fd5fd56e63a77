#include "cassiabend/rpc/admin_scope.h"

#include <string>
#include <vector>

#include "cassiabend/model/items.h"
#include "cassiabend/rpc/admin_tokens.h"

namespace cassiabend {
namespace {

CommitResult MakeRefusal(const OperatorToken& who,
                         const ChangeId& change_id,
                         std::string path,
                         const std::string& team) {
  CommitResult out;
  out.code = CommitCode::kNotAuthorised;
  out.path = std::move(path);
  out.reason =
      "operator \"" + who.name + "\" may not change " +
      (team.empty() ? "shared items" : "items of team \"" + team + "\"");
  out.change_id = change_id;
  return out;
}

/// \brief The fields of a current item that its scope check needs.
struct CurrentItem {
  std::string team;
  VersionNumber revision = 0;
};

template <typename Item>
std::optional<CurrentItem> FindIn(const Config& config,
                                  const std::string& name) {
  const Item* item = FindItem(ItemsOf<Item>(config), name);
  if (item == nullptr) {
    return std::nullopt;
  }
  return CurrentItem{item->team, item->revision};
}

std::optional<CurrentItem> FindCurrentItem(const Config& config,
                                           const ItemRef& item) {
  switch (item.kind) {
    case ItemKind::kSite:
      return FindIn<Site>(config, item.name);
    case ItemKind::kService:
      return FindIn<Service>(config, item.name);
    case ItemKind::kRoute:
      return FindIn<Route>(config, item.name);
    case ItemKind::kWindow:
      return FindIn<QuietWindow>(config, item.name);
    case ItemKind::kTeam:
      return FindIn<Team>(config, item.name);
  }
  return std::nullopt;
}

/// \brief The team of the item that an edit puts; unset for a removal.
struct TeamOfPutItem {
  std::optional<std::string> operator()(const ItemRef& /*it*/) const {
    return std::nullopt;
  }
  template <typename Item>
  std::optional<std::string> operator()(const Item& it) const {
    return it.team;
  }
};

/// \brief Checks one edit and sets its expected revision.
std::optional<CommitResult> ApplyScopeToEdit(const OperatorToken& who,
                                             const Config& current,
                                             const ChangeId& change_id,
                                             Edit* edit) {
  const ItemRef target = TargetOf(*edit);
  const std::optional<CurrentItem> item = FindCurrentItem(current, target);
  const std::optional<std::string> teams[] = {
      std::visit(TeamOfPutItem{}, edit->action),
      item ? std::optional(item->team) : std::nullopt};
  for (const auto& team : teams) {
    if (team && !MayChangeTeam(who, *team)) {
      return MakeRefusal(who, change_id, PathOf(target), *team);
    }
  }
  const VersionNumber revision = item ? item->revision : 0;
  if (edit->expected_revision.value_or(0) > current.number) {
    CommitResult out;
    out.code = CommitCode::kStoreUnavailable;
    out.path = PathOf(target);
    out.reason =
        "this node does not yet have the version that the change is based on; "
        "retry later";
    out.change_id = change_id;
    return out;
  }
  // An older revision that the author stated is kept: it can only lead to a
  // conflict, or belong to a repeat of a change that was accepted before.
  edit->expected_revision = edit->expected_revision.value_or(revision);
  return std::nullopt;
}

}  // namespace

std::optional<CommitResult> ApplyScope(const OperatorToken& who,
                                       const Config* current,
                                       Change* change) {
  if (MayChangeTeam(who, "")) {
    return std::nullopt;
  }
  const Config empty;
  for (Edit& it : change->edits) {
    auto refusal = ApplyScopeToEdit(who, current == nullptr ? empty : *current,
                                    change->id, &it);
    if (refusal) {
      return refusal;
    }
  }
  return std::nullopt;
}

std::optional<CommitResult> CheckAllTeamsScope(const OperatorToken& who,
                                               const ChangeId& change_id) {
  if (MayChangeTeam(who, "")) {
    return std::nullopt;
  }
  return MakeRefusal(who, change_id, "", "");
}

}  // namespace cassiabend
