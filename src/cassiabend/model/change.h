#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cassiabend/model/config.h"

namespace cassiabend {

enum class ItemKind : std::uint8_t { kSite, kService, kRoute, kWindow, kTeam };

/// \brief Identifies one item of a configuration by kind and name.
struct ItemRef {
  ItemKind kind = ItemKind::kSite;
  std::string name;

  // clang-tidy 14 mistakes the 0 of a rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  [[nodiscard]] auto operator<=>(const ItemRef&) const = default;
};

/// \brief Adds, replaces or removes one item.
struct Edit {
  using Action = std::variant<Site, Service, Route, QuietWindow, Team, ItemRef>;

  /// The item to add or replace, or a reference to the item to remove.
  Action action;
  /// Revision of the item that the author saw, 0 if it was absent. Unset when
  /// the edit applies whatever the current revision is.
  std::optional<VersionNumber> expected_revision;

  [[nodiscard]] bool operator==(const Edit&) const = default;
};

/// \brief A set of edits that is committed atomically.
struct Change {
  ChangeId id;
  std::string author;
  std::vector<Edit> edits;

  [[nodiscard]] bool operator==(const Change&) const = default;
};

/// \brief The edits that turn the version `base` into the version `mark`.
struct ConfigDelta {
  VersionMark base;
  VersionMark mark;
  ChangeId change_id;
  std::string author;
  std::vector<Edit> edits;
  /// Parent of the version `mark`. Set when the delta was computed from two
  /// full versions, so that `base` need not be the parent; items then keep the
  /// revisions that the edits carry.
  std::optional<VersionNumber> explicit_parent;

  [[nodiscard]] bool operator==(const ConfigDelta&) const = default;
};

/// \returns The item that `edit` adds, replaces or removes.
[[nodiscard]] ItemRef TargetOf(const Edit& edit);

/// \returns The path of an item for errors, such as "routes[orders-eu]".
[[nodiscard]] std::string PathOf(const ItemRef& item);

/// \brief Applies `edits` to `base` and gives the result the next number. Items
/// whose content changes get that number as their revision. Does not validate.
/// \throws ModelError when an edit removes an absent item.
[[nodiscard]] Config ApplyEdits(const Config& base,
                                const std::vector<Edit>& edits,
                                const ChangeId& change_id,
                                const std::string& author);

/// \brief Like `ApplyEdits`, but the result gets the given number.
/// \throws ModelError when an edit removes an absent item, or when `number` is
/// not greater than that of `base`.
[[nodiscard]] Config ApplyEditsAs(VersionNumber number,
                                  const Config& base,
                                  const std::vector<Edit>& edits,
                                  const ChangeId& change_id,
                                  const std::string& author);

/// \returns The edits that turn `from` into `to`. Items that differ only in
/// their revisions count as equal.
[[nodiscard]] std::vector<Edit> Difference(const Config& from,
                                           const Config& to);

/// \brief Applies a delta with `explicit_parent`: items get the revisions that
/// the edits carry. Does not validate.
/// \throws ModelError when an edit removes an absent item.
[[nodiscard]] Config ApplyWithRevisions(const Config& base,
                                        const ConfigDelta& delta);

/// \returns The edits that turn `from` into `to`. Items that differ only in
/// their revisions count as different.
[[nodiscard]] std::vector<Edit> DifferenceWithRevisions(const Config& from,
                                                        const Config& to);

}  // namespace cassiabend
