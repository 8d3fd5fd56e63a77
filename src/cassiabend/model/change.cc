#include "cassiabend/model/change.h"

#include <algorithm>
#include <array>
#include <type_traits>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/items.h"

namespace cassiabend {
namespace {

/// \brief Whether two items are equal apart from their revisions.
template <typename Item>
bool SameContent(const Item& a, Item b) {
  b.revision = a.revision;
  return a == b;
}

/// \brief Adds or replaces an item and keeps the revision that it carries.
template <typename Item>
void InsertOrReplaceItem(Item item, Config* config) {
  std::vector<Item>& items = ItemsOf<Item>(*config);
  const auto it = LowerBound(items, item.name);
  if (it != items.end() && it->name == item.name) {
    *it = std::move(item);
    return;
  }
  items.insert(it, std::move(item));
}

/// \brief Adds or replaces an item with the version's number as its revision.
/// Does nothing when the content is unchanged.
template <typename Item>
void PutItem(Item item, Config* config) {
  item.revision = config->number;
  const Item* old = FindItem(ItemsOf<Item>(*config), item.name);
  if (old == nullptr || !SameContent(*old, item)) {
    InsertOrReplaceItem(std::move(item), config);
  }
}

template <typename Item>
void RemoveItem(const ItemRef& target, Config* config) {
  std::vector<Item>& items = ItemsOf<Item>(*config);
  const auto it = LowerBound(items, target.name);
  if (it == items.end() || it->name != target.name) {
    throw ModelError("cannot remove the item", PathOf(target),
                     "it does not exist");
  }
  items.erase(it);
}

void Remove(const ItemRef& target, Config* config) {
  switch (target.kind) {
    case ItemKind::kSite:
      return RemoveItem<Site>(target, config);
    case ItemKind::kService:
      return RemoveItem<Service>(target, config);
    case ItemKind::kRoute:
      return RemoveItem<Route>(target, config);
    case ItemKind::kWindow:
      return RemoveItem<QuietWindow>(target, config);
    case ItemKind::kTeam:
      return RemoveItem<Team>(target, config);
  }
}

/// \brief Applies edits to `*config`.
/// \param put Adds or replaces one item.
template <typename Put>
void ApplyEditsWith(const std::vector<Edit>& edits, Put put, Config* config) {
  for (const Edit& edit : edits) {
    std::visit(
        [&](const auto& it) {
          using Action = std::decay_t<decltype(it)>;
          if constexpr (std::is_same_v<Action, ItemRef>) {
            Remove(it, config);
          } else {
            put(it, config);
          }
        },
        edit.action);
  }
}

/// \brief Whether items that differ only in their revisions count as different.
enum class Revisions : std::uint8_t { kIgnored, kCompared };

template <typename Item>
void AppendDifference(const Config& from,
                      const Config& to,
                      Revisions revisions,
                      std::vector<Edit>* out) {
  const std::vector<Item>& before = ItemsOf<Item>(from);
  const std::vector<Item>& after = ItemsOf<Item>(to);
  for (const Item& it : before) {
    if (FindItem(after, it.name) == nullptr) {
      out->push_back({.action = ItemRef{kKindOf<Item>, it.name}});
    }
  }
  for (const Item& it : after) {
    const Item* old = FindItem(before, it.name);
    const bool same = old != nullptr && (revisions == Revisions::kCompared
                                             ? *old == it
                                             : SameContent(*old, it));
    if (!same) {
      out->push_back({.action = it});
    }
  }
}

std::vector<Edit> DifferenceBy(const Config& from,
                               const Config& to,
                               Revisions revisions) {
  std::vector<Edit> out;
  AppendDifference<Team>(from, to, revisions, &out);
  AppendDifference<QuietWindow>(from, to, revisions, &out);
  AppendDifference<Route>(from, to, revisions, &out);
  AppendDifference<Service>(from, to, revisions, &out);
  AppendDifference<Site>(from, to, revisions, &out);
  return out;
}

}  // namespace

ItemRef TargetOf(const Edit& edit) {
  return std::visit(
      [](const auto& it) {
        using Action = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<Action, ItemRef>) {
          return it;
        } else {
          return ItemRef{kKindOf<Action>, it.name};
        }
      },
      edit.action);
}

std::string PathOf(const ItemRef& item) {
  constexpr std::array<const char*, 5> kListNames = {
      "sites", "services", "routes", "windows", "teams"};
  std::string out = kListNames.at(static_cast<std::size_t>(item.kind));
  out += "[" + item.name + "]";
  return out;
}

Config ApplyEdits(const Config& base,
                  const std::vector<Edit>& edits,
                  const ChangeId& change_id,
                  const std::string& author) {
  return ApplyEditsAs(base.number + 1, base, edits, change_id, author);
}

Config ApplyEditsAs(VersionNumber number,
                    const Config& base,
                    const std::vector<Edit>& edits,
                    const ChangeId& change_id,
                    const std::string& author) {
  if (number <= base.number) {
    throw ModelError("cannot number the version", std::to_string(number),
                     "it must be above the number of its base, " +
                         std::to_string(base.number));
  }
  Config out = base;
  out.number = number;
  out.parent = base.number;
  out.change_id = change_id;
  out.author = author;
  ApplyEditsWith(
      edits, [](const auto& item, Config* config) { PutItem(item, config); },
      &out);
  return out;
}

std::vector<Edit> Difference(const Config& from, const Config& to) {
  return DifferenceBy(from, to, Revisions::kIgnored);
}

std::vector<Edit> DifferenceWithRevisions(const Config& from,
                                          const Config& to) {
  return DifferenceBy(from, to, Revisions::kCompared);
}

Config ApplyWithRevisions(const Config& base, const ConfigDelta& delta) {
  Config out = base;
  out.number = delta.mark.number;
  out.parent = delta.explicit_parent.value_or(base.number);
  out.change_id = delta.change_id;
  out.author = delta.author;
  ApplyEditsWith(
      delta.edits,
      [](const auto& item, Config* config) {
        InsertOrReplaceItem(item, config);
      },
      &out);
  return out;
}

}  // namespace cassiabend
