#include "cassiabend/http/message_rules.h"

#include <algorithm>
#include <array>
#include <vector>

#include "cassiabend/http/header_text.h"
#include "cassiabend/http/headers.h"

namespace cassiabend {
namespace {

constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect",
    "Content-Length",
    "Transfer-Encoding",
    "Proxy-Authenticate",
    "Proxy-Authorization",
};

std::string_view Trim(std::string_view text) noexcept {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

/// \returns The header names that the "Connection" headers list.
std::vector<std::string> ConnectionTokens(const MessageHead& head) {
  std::vector<std::string> tokens;
  for (const HeaderField& it : head.fields) {
    if (!EqualsIgnoreCase(it.name, "Connection")) {
      continue;
    }
    std::string_view rest = it.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      const std::string_view token = Trim(rest.substr(0, comma));
      if (!token.empty()) {
        tokens.emplace_back(token);
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return tokens;
}

}  // namespace

void StripHopByHopHeaders(MessageHead* head) {
  const std::vector<std::string> tokens = ConnectionTokens(*head);
  std::erase_if(head->fields, [&tokens](const HeaderField& it) {
    const auto is_same = [&it](std::string_view name) {
      return EqualsIgnoreCase(it.name, name);
    };
    return std::ranges::any_of(kHopByHopHeaders, is_same) ||
           std::ranges::any_of(tokens, is_same);
  });
}

void StripSystemHeaders(MessageHead* head) {
  std::erase_if(head->fields, [](const HeaderField& it) {
    return StartsWithIgnoreCase(it.name, kSystemHeaderPrefix);
  });
}

std::string NormalizeTarget(MessageHead* head) {
  constexpr std::string_view kScheme = "http://";
  if (StartsWithIgnoreCase(head->target, kScheme)) {
    const std::string rest = head->target.substr(kScheme.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    std::erase_if(head->fields, [](const HeaderField& it) {
      return EqualsIgnoreCase(it.name, "Host");
    });
    head->Add("Host", std::string_view(rest).substr(0, slash));
    head->target = slash < rest.size() ? rest.substr(slash) : "/";
  }
  if (head->target.empty() || head->target.front() != '/') {
    return "the request target is not an absolute path";
  }
  const auto hosts = std::ranges::count_if(
      head->fields,
      [](const HeaderField& it) { return EqualsIgnoreCase(it.name, "Host"); });
  if (hosts > 1 || (hosts == 0 && !head->is_http_1_0)) {
    return "the request must have exactly one Host header";
  }
  return {};
}

}  // namespace cassiabend
