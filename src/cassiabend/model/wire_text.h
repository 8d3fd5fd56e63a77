#pragma once

#include <capnp/list.h>

#include <string>
#include <vector>

namespace cassiabend {

/// Conversions between standard strings and Cap'n Proto texts.
[[nodiscard]] inline std::string TextOf(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

[[nodiscard]] inline std::vector<std::string> TextsOf(
    capnp::List<capnp::Text>::Reader in) {
  std::vector<std::string> out;
  out.reserve(in.size());
  for (auto it : in) {
    out.push_back(TextOf(it));
  }
  return out;
}

inline void SetTexts(const std::vector<std::string>& texts,
                     capnp::List<capnp::Text>::Builder out) {
  unsigned i = 0;
  for (const std::string& it : texts) {
    out.set(i, it);
    ++i;
  }
}

}  // namespace cassiabend
