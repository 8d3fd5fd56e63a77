#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace cassiabend {

/// \brief Reads the fields of one JSON object and refuses those not asked for.
/// Every failure is a `ModelError` with the path of the field.
class JsonObjectReader {
 public:
  JsonObjectReader(const boost::json::object& object, std::string path)
      : object_(object), path_(std::move(path)) {}

  [[nodiscard]] const std::string& path() const noexcept { return path_; }
  [[nodiscard]] std::string PathOf(std::string_view key) const;

  [[nodiscard]] bool Has(std::string_view key) const;
  /// \returns The field, or an empty text when it is absent.
  [[nodiscard]] std::string Text(std::string_view key);
  /// \returns The field, which must be present and not empty.
  [[nodiscard]] std::string RequiredText(std::string_view key);
  [[nodiscard]] bool Bool(std::string_view key);
  /// \returns The field, or 0 when it is absent.
  [[nodiscard]] std::uint64_t Number(
      std::string_view key,
      std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  /// \returns The field, or null when it is absent.
  [[nodiscard]] const boost::json::value* Field(std::string_view key);
  [[nodiscard]] const boost::json::object* Object(std::string_view key);
  [[nodiscard]] const boost::json::array* Array(std::string_view key);

  /// \throws ModelError when the object has a field that was not asked for.
  void CheckAllRead() const;

  [[noreturn]] void Fail(std::string_view key, const std::string& why) const;

 private:
  const boost::json::object& object_;
  std::string path_;
  std::vector<std::string_view> read_;
};

/// \returns The object in `value`.
/// \throws ModelError when it is not one.
[[nodiscard]] const boost::json::object& AsObject(
    const boost::json::value& value,
    const std::string& path);

/// \brief Parses JSON with comments and trailing commas.
/// \throws ModelError with the line when `text` is not such JSON.
[[nodiscard]] boost::json::value ParseJsonText(std::string_view text);

}  // namespace cassiabend
