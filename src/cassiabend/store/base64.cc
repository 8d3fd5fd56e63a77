#include "cassiabend/store/base64.h"

#include <sodium.h>

namespace cassiabend {

std::string EncodeBase64(std::string_view bytes) {
  constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
  // The length includes the terminating zero.
  std::string out(sodium_base64_encoded_len(bytes.size(), kVariant), '\0');
  sodium_bin2base64(out.data(), out.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kVariant);
  out.pop_back();
  return out;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  std::string out(text.size() / 4 * 3 + 3, '\0');
  std::size_t n = 0;
  const char* end = nullptr;
  const int failed = sodium_base642bin(
      reinterpret_cast<unsigned char*>(out.data()), out.size(), text.data(),
      text.size(), nullptr, &n, &end, sodium_base64_VARIANT_ORIGINAL);
  if (failed != 0 || end != text.data() + text.size()) {
    return std::nullopt;
  }
  out.resize(n);
  return out;
}

}  // namespace cassiabend
