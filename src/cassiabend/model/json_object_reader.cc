#include "cassiabend/model/json_object_reader.h"

#include <algorithm>
#include <boost/json/parser.hpp>
#include <utility>

#include "cassiabend/base/error.h"

namespace cassiabend {
namespace {

constexpr std::size_t kMaxNestingDepth = 16;

[[noreturn]] void FailAt(const std::string& path, const std::string& why) {
  throw ModelError("cannot read the JSON", path, why);
}

}  // namespace

std::string JsonObjectReader::PathOf(std::string_view key) const {
  std::string out = path_;
  if (!out.empty()) {
    out += '.';
  }
  return out.append(key);
}

bool JsonObjectReader::Has(std::string_view key) const {
  return object_.contains(key);
}

const boost::json::value* JsonObjectReader::Field(std::string_view key) {
  read_.push_back(key);
  return object_.if_contains(key);
}

std::string JsonObjectReader::Text(std::string_view key) {
  const boost::json::value* value = Field(key);
  if (value == nullptr) {
    return {};
  }
  const boost::json::string* text = value->if_string();
  if (text == nullptr) {
    Fail(key, "it must be a string");
  }
  return {text->data(), text->size()};
}

std::string JsonObjectReader::RequiredText(std::string_view key) {
  std::string out = Text(key);
  if (out.empty()) {
    Fail(key, "it must be present and not empty");
  }
  return out;
}

bool JsonObjectReader::Bool(std::string_view key) {
  const boost::json::value* value = Field(key);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_bool()) {
    Fail(key, "it must be true or false");
  }
  return value->as_bool();
}

std::uint64_t JsonObjectReader::Number(std::string_view key,
                                       std::uint64_t max) {
  const boost::json::value* value = Field(key);
  if (value == nullptr) {
    return 0;
  }
  std::uint64_t out = 0;
  if (value->is_uint64()) {
    out = value->as_uint64();
  } else if (value->is_int64() && value->as_int64() >= 0) {
    out = static_cast<std::uint64_t>(value->as_int64());
  } else {
    Fail(key, "it must be a whole number of at least 0");
  }
  if (out > max) {
    Fail(key, "it must be at most " + std::to_string(max));
  }
  return out;
}

const boost::json::object* JsonObjectReader::Object(std::string_view key) {
  const boost::json::value* value = Field(key);
  return value == nullptr ? nullptr : &AsObject(*value, PathOf(key));
}

const boost::json::array* JsonObjectReader::Array(std::string_view key) {
  const boost::json::value* value = Field(key);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_array()) {
    Fail(key, "it must be a list");
  }
  return &value->as_array();
}

void JsonObjectReader::CheckAllRead() const {
  for (const auto& it : object_) {
    const std::string_view key(it.key().data(), it.key().size());
    if (std::ranges::find(read_, key) == read_.end()) {
      Fail(key, "there is no such field");
    }
  }
}

void JsonObjectReader::Fail(std::string_view key,
                            const std::string& why) const {
  FailAt(PathOf(key), why);
}

const boost::json::object& AsObject(const boost::json::value& value,
                                    const std::string& path) {
  if (!value.is_object()) {
    FailAt(path, "it must be an object");
  }
  return value.as_object();
}

boost::json::value ParseJsonText(std::string_view text) {
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  options.max_depth = kMaxNestingDepth;
  boost::json::parser parser({}, options);
  boost::json::error_code ec;
  const std::size_t n = parser.write_some(text.data(), text.size(), ec);
  // The parser consumes trailing comments and whitespace as well, so anything
  // left over is not part of the document.
  if (!ec && n < text.size()) {
    ec = boost::json::error::extra_data;
  }
  if (ec) {
    const auto lines = std::ranges::count(text.substr(0, n), '\n');
    FailAt("line " + std::to_string(lines + 1), ec.message());
  }
  return parser.release();
}

}  // namespace cassiabend
