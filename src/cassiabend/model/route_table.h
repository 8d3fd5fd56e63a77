#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "cassiabend/model/config.h"

namespace cassiabend {

/// \brief The routes of one host, found by the path's longest known prefix.
/// Refers to the routes that it was made from.
class RouteTable {
 public:
  RouteTable() = default;
  /// \param routes Routes of one host, in any order.
  explicit RouteTable(std::vector<const Route*> routes);

  /// \brief Calls `accept` on the routes whose prefix fits, most specific
  /// first, until it returns true.
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

  /// \brief One distinct prefix with its routes [first, last).
  struct Prefix {
    std::string_view text;
    std::size_t first = 0;
    std::size_t last = 0;
    /// The longest shorter prefix of the table that this one starts with.
    std::size_t parent = kNone;
  };

  [[nodiscard]] std::size_t FindLongestPrefix(
      std::string_view path) const noexcept;
  [[nodiscard]] std::size_t FindMatchingAncestor(
      std::size_t i,
      std::string_view path) const noexcept;

  std::vector<const Route*> routes_;
  /// Sorted by text.
  std::vector<Prefix> prefixes_;
};

}  // namespace cassiabend
