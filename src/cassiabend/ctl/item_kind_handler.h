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

/// \brief How cassiabend-ctl handles one kind of item.
struct ItemKindHandler {
  /// Name of the kind on the command line, such as "route".
  std::string_view word;
  ItemKind kind;
  /// Fields that "list" shows, one column each.
  std::span<const std::string_view> columns;
  /// \brief Makes the edit that puts the item with this JSON form.
  /// \throws ModelError when the JSON form is invalid.
  Edit (*put)(const boost::json::object& object);
  /// \returns The JSON forms of all items of the kind.
  boost::json::array (*list)(const Config& config);
};

/// \returns The handlers of all kinds.
[[nodiscard]] std::span<const ItemKindHandler> AllItemKindHandlers();

/// \returns The JSON form of the item `ref` in `config`; null when it is
/// absent.
[[nodiscard]] boost::json::value CurrentItemJson(const Config& config,
                                                 const ItemRef& ref);

/// \returns The JSON form of the item that `edit` puts; null for a removal.
[[nodiscard]] boost::json::value PutItemJson(const Edit& edit);

}  // namespace cassiabend
