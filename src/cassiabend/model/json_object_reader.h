#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace cassiabend {

/// \brief Reads the fields of one JSON object and refuses unknown ones. Every
/// failure throws a `ModelError` with the path of the field.
class JsonObjectReader {
 public:
  /// \param path Path of the object, for errors; empty for the root.
  JsonObjectReader(const boost::json::object& object, std::string path)
      : object_(object), path_(std::move(path)) {}

  [[nodiscard]] const std::string& path() const noexcept { return path_; }
  [[nodiscard]] std::string PathOf(std::string_view key) const;

  [[nodiscard]] bool Has(std::string_view key) const;
  /// \returns The string, or an empty one when the field is absent.
  [[nodiscard]] std::string Text(std::string_view key);
  /// \returns The string. The field must be present and not empty.
  [[nodiscard]] std::string RequiredText(std::string_view key);
  /// \returns The boolean, or false when the field is absent.
  [[nodiscard]] bool Bool(std::string_view key);
  /// \returns The number, or 0 when the field is absent.
  [[nodiscard]] std::uint64_t Number(
      std::string_view key,
      std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  /// \returns The field, or null when it is absent.
  [[nodiscard]] const boost::json::value* Field(std::string_view key);
  [[nodiscard]] const boost::json::object* Object(std::string_view key);
  [[nodiscard]] const boost::json::array* Array(std::string_view key);

  /// \throws ModelError when the object has a field that no method above has
  /// read, as its key is unknown. `Has` does not read.
  void CheckAllRead() const;

  /// \throws ModelError with the path of the field, always.
  [[noreturn]] void Fail(std::string_view key, const std::string& why) const;

 private:
  const boost::json::object& object_;
  std::string path_;
  /// Keys of the fields that have been read.
  std::vector<std::string_view> read_;
};

/// \returns `value` as an object.
/// \throws ModelError with `path` when it is not an object.
[[nodiscard]] const boost::json::object& AsObject(
    const boost::json::value& value,
    const std::string& path);

/// \brief Parses JSON with comments and trailing commas.
/// \throws ModelError with the line when `text` is not valid.
[[nodiscard]] boost::json::value ParseJsonText(std::string_view text);

}  // namespace cassiabend
