#pragma once

#include <boost/json/array.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cassiabend {

/// \brief A table of text with headings and aligned columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> headings)
      : rows_{std::move(headings)} {}

  [[nodiscard]] std::string ToString() const;

  void AddRow(std::vector<std::string> cells) {
    rows_.push_back(std::move(cells));
  }

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// \returns A table with a row per object and a column per key in `columns`;
/// absent and null values are shown as "-".
[[nodiscard]] std::string FormatTable(
    const boost::json::array& objects,
    std::span<const std::string_view> columns);

}  // namespace cassiabend
