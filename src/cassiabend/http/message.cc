#include "cassiabend/http/message.h"

#include <algorithm>

namespace cassiabend {
namespace {

constexpr char ToLower(char c) noexcept {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::string_view MessageHead::Get(std::string_view name) const noexcept {
  for (const HeaderField& it : fields) {
    if (EqualsIgnoreCase(it.name, name)) {
      return it.value;
    }
  }
  return {};
}

bool MessageHead::Has(std::string_view name) const noexcept {
  return std::ranges::any_of(fields, [name](const HeaderField& it) {
    return EqualsIgnoreCase(it.name, name);
  });
}

void BufferedRequest::SetHead(MessageHead head) {
  head_ = std::move(head);
  std::size_t n = head_.target.size();
  for (const HeaderField& it : head_.fields) {
    n += it.name.size() + it.value.size();
  }
  Count(n);
}

void BufferedRequest::AppendBody(std::string_view bytes) {
  body_.append(bytes);
  Count(bytes.size());
}

void BufferedRequest::Count(std::size_t n) noexcept {
  counted_ += n;
  buffered_bytes_->total += n;
}

}  // namespace cassiabend
