#include "cassiabend/ctl/text_table.h"

#include <algorithm>
#include <boost/json/serialize.hpp>

namespace cassiabend {
namespace {

constexpr std::size_t kColumnGap = 2;

std::string FormatCell(const boost::json::value& row, std::string_view column) {
  const boost::json::value* it = row.get_object().if_contains(column);
  if (it == nullptr || it->is_null()) {
    return "-";
  }
  return it->is_string() ? std::string(it->get_string())
                         : boost::json::serialize(*it);
}

}  // namespace

std::string TextTable::ToString() const {
  std::vector<std::size_t> widths;
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string out;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + kColumnGap, ' ');
      }
    }
    out += line + "\n";
  }
  return out;
}

std::string FormatTable(const boost::json::array& objects,
                        std::span<const std::string_view> columns) {
  std::vector<std::string> headings;
  for (const std::string_view it : columns) {
    std::string heading(it);
    std::ranges::replace(heading, '_', ' ');
    std::ranges::transform(heading, heading.begin(), [](unsigned char c) {
      return static_cast<char>(std::toupper(c));
    });
    headings.push_back(std::move(heading));
  }
  TextTable table(std::move(headings));
  for (const boost::json::value& row : objects) {
    std::vector<std::string> cells;
    for (const std::string_view it : columns) {
      cells.push_back(FormatCell(row, it));
    }
    table.AddRow(std::move(cells));
  }
  return table.ToString();
}

}  // namespace cassiabend
