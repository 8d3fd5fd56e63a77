#pragma once

#include <algorithm>
#include <string_view>
#include <type_traits>
#include <vector>

#include "cassiabend/model/change.h"
#include "cassiabend/model/config.h"

namespace cassiabend {

/// \brief The `ItemKind` of an item type.
template <typename Item>
inline constexpr ItemKind kKindOf = ItemKind::kSite;
template <>
inline constexpr ItemKind kKindOf<Service> = ItemKind::kService;
template <>
inline constexpr ItemKind kKindOf<Route> = ItemKind::kRoute;
template <>
inline constexpr ItemKind kKindOf<QuietWindow> = ItemKind::kWindow;
template <>
inline constexpr ItemKind kKindOf<Team> = ItemKind::kTeam;

/// \returns The list of `config` that holds items of type `Item`.
template <typename Item, typename C>
[[nodiscard]] auto& ItemsOf(C& config) noexcept {
  static_assert(std::is_same_v<std::remove_const_t<C>, Config>);
  if constexpr (std::is_same_v<Item, Site>) {
    return config.sites;
  } else if constexpr (std::is_same_v<Item, Service>) {
    return config.services;
  } else if constexpr (std::is_same_v<Item, Route>) {
    return config.routes;
  } else if constexpr (std::is_same_v<Item, QuietWindow>) {
    return config.windows;
  } else {
    static_assert(std::is_same_v<Item, Team>);
    return config.teams;
  }
}

/// \returns The first item of a list sorted by name whose name is not less than
/// `name`.
template <typename Items>
[[nodiscard]] auto LowerBound(Items& items, std::string_view name) noexcept {
  return std::ranges::lower_bound(
      items, name, std::ranges::less(),
      [](const auto& it) -> std::string_view { return it.name; });
}

/// \returns The item called `name` in a list sorted by name, or null.
template <typename Item>
[[nodiscard]] const Item* FindItem(const std::vector<Item>& items,
                                   std::string_view name) noexcept {
  const auto it = LowerBound(items, name);
  return it != items.end() && it->name == name ? &*it : nullptr;
}

}  // namespace cassiabend
