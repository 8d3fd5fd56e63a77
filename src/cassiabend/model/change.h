#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cassiabend/model/config.h"

namespace cassiabend {

enum class ItemKind : std::uint8_t { kSite, kService, kRoute, kWindow };

/// \brief Names one item of a configuration.
struct ItemRef {
  ItemKind kind = ItemKind::kSite;
  std::string name;

  // clang-tidy 14 takes the 0 of a rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  [[nodiscard]] auto operator<=>(const ItemRef&) const = default;
};

/// \brief Puts an item (adds or replaces it) or removes one.
struct Edit {
  using Action = std::variant<Site, Service, Route, QuietWindow, ItemRef>;

  /// An item to put, or the reference of the one to remove.
  Action action;
  /// Revision of the item that the author saw, 0 for absent; unset when the
  /// edit holds whatever the item's state is.
  std::optional<VersionNumber> expected_revision;

  [[nodiscard]] bool operator==(const Edit&) const = default;
};

/// \brief A set of edits that is accepted whole or not at all.
struct Change {
  ChangeId id;
  std::string author;
  std::vector<Edit> edits;

  [[nodiscard]] bool operator==(const Change&) const = default;
};

/// \brief Turns the version `base` into the version `mark`.
struct ConfigDelta {
  VersionMark base;
  VersionMark mark;
  ChangeId change_id;
  std::string author;
  std::vector<Edit> edits;
  /// Set where the version was written whole elsewhere, not as edits of its
  /// base: the version's parent. Items then keep the revisions that they carry.
  std::optional<VersionNumber> explicit_parent;

  [[nodiscard]] bool operator==(const ConfigDelta&) const = default;
};

/// \returns The item that `edit` concerns.
[[nodiscard]] ItemRef TargetOf(const Edit& edit);

/// \returns The path of an item in errors, such as "routes[orders-eu]".
[[nodiscard]] std::string PathOf(const ItemRef& item);

/// \brief Applies `edits` to `base` and stamps the result as its successor.
/// Items whose content changes get the new number as their revision. Does not
/// validate.
/// \throws ModelError when an edit removes an absent item.
[[nodiscard]] Config ApplyEdits(const Config& base,
                                const std::vector<Edit>& edits,
                                const ChangeId& change_id,
                                const std::string& author);

/// \brief Like `ApplyEdits`, with a number that need not be the next one.
/// \throws ModelError also when `number` is not above that of `base`.
[[nodiscard]] Config ApplyEditsAs(VersionNumber number,
                                  const Config& base,
                                  const std::vector<Edit>& edits,
                                  const ChangeId& change_id,
                                  const std::string& author);

/// \returns The edits that turn `from` into `to`; revisions are not compared.
[[nodiscard]] std::vector<Edit> Difference(const Config& from,
                                           const Config& to);

/// \brief Carries out a delta with `explicit_parent`. Does not validate.
/// \throws ModelError when an edit removes an absent item.
[[nodiscard]] Config ApplyWithRevisions(const Config& base,
                                        const ConfigDelta& delta);
/// \returns The edits of a restated delta: revisions count as content.
[[nodiscard]] std::vector<Edit> DifferenceWithRevisions(const Config& from,
                                                        const Config& to);

}  // namespace cassiabend
