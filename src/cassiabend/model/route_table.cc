#include "cassiabend/model/route_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cassiabend {
namespace {

/// \brief Orders by prefix; within one prefix, routes for one method come
/// before those for any method.
bool SortsBefore(const Route* a, const Route* b) noexcept {
  return std::tie(a->path_prefix, b->method, a->team) <
         std::tie(b->path_prefix, a->method, b->team);
}

}  // namespace

RouteTable::RouteTable(std::vector<const Route*> routes)
    : routes_(std::move(routes)) {
  std::ranges::sort(routes_, SortsBefore);
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    const std::string_view text = routes_[i]->path_prefix;
    if (prefixes_.empty() || prefixes_.back().text != text) {
      const std::size_t last = prefixes_.empty() ? kNone : prefixes_.size() - 1;
      prefixes_.push_back({text, i, i, FindMatchingAncestor(last, text)});
    }
    prefixes_.back().last = i + 1;
  }
}

std::size_t RouteTable::FindLongestPrefix(
    std::string_view path) const noexcept {
  // Every string that sorts between a prefix and a path starting with it starts
  // with that prefix too. So the longest prefix of `path` is the last entry
  // that does not sort after `path`, or one of its ancestors.
  const auto after =
      std::ranges::upper_bound(prefixes_, path, {}, &Prefix::text);
  if (after == prefixes_.begin()) {
    return kNone;
  }
  return FindMatchingAncestor(
      static_cast<std::size_t>(after - prefixes_.begin()) - 1, path);
}

std::size_t RouteTable::FindMatchingAncestor(
    std::size_t i,
    std::string_view path) const noexcept {
  while (i != kNone && !path.starts_with(prefixes_[i].text)) {
    i = prefixes_[i].parent;
  }
  return i;
}

}  // namespace cassiabend
