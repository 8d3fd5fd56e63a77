#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/model/change.h"
#include "cassiabend/model/config.h"

namespace cassiabend {

/// \brief What the command line does with one kind of item.
struct ItemKindHandler {
  /// Word of the command, such as "route".
  std::string_view word;
  ItemKind kind;
  /// Columns of the list.
  std::span<const std::string_view> columns;
  /// \brief Makes the edit that puts an item of the JSON form.
  Edit (*put)(const boost::json::object& object);
  /// \returns The items in the JSON form.
  boost::json::array (*list)(const Config& config);
};

/// \returns All kinds.
[[nodiscard]] std::span<const ItemKindHandler> AllItemKindHandlers();

/// \returns The present item that `ref` names in the JSON form; null without.
[[nodiscard]] boost::json::value CurrentItemJson(const Config& config,
                                                 const ItemRef& ref);

/// \returns The item that the edit puts in the JSON form; null for a removal.
[[nodiscard]] boost::json::value PutItemJson(const Edit& edit);

}  // namespace cassiabend
