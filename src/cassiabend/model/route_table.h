#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "cassiabend/model/config.h"

namespace cassiabend {

/// \brief Finds the routes of one host by longest prefix match on the path. The
/// routes must outlive the table.
class RouteTable {
 public:
  RouteTable() = default;
  /// \param routes Routes of one host, in any order.
  explicit RouteTable(std::vector<const Route*> routes);

  /// \brief Calls `accept` on the routes whose prefix matches `path`, longest
  /// prefix first, until it returns true. Among equal prefixes, routes for one
  /// method come before those for any method.
  /// \returns The accepted route, or null.
  template <typename Accept>
  [[nodiscard]] const Route* Find(std::string_view path,
                                  const Accept& accept) const noexcept {
    for (std::size_t i = FindLongestPrefix(path); i != kNone;
         i = prefixes_[i].parent) {
      const Prefix& prefix = prefixes_[i];
      for (std::size_t j = prefix.first; j < prefix.last; ++j) {
        if (accept(*routes_[j])) {
          return routes_[j];
        }
      }
    }
    return nullptr;
  }

 private:
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  /// \brief One distinct prefix and its routes, `routes_[first, last)`.
  struct Prefix {
    std::string_view text;
    std::size_t first = 0;
    std::size_t last = 0;
    /// Index of the longest other prefix that this one starts with.
    std::size_t parent = kNone;
  };

  /// \returns The index of the longest prefix of `path`, or `kNone`.
  [[nodiscard]] std::size_t FindLongestPrefix(
      std::string_view path) const noexcept;
  /// \returns The first of `i`, its parent, its parent's parent and so on that
  /// is a prefix of `path`, or `kNone`.
  [[nodiscard]] std::size_t FindMatchingAncestor(
      std::size_t i,
      std::string_view path) const noexcept;

  /// Sorted by prefix.
  std::vector<const Route*> routes_;
  /// Sorted by text.
  std::vector<Prefix> prefixes_;
};

}  // namespace cassiabend
