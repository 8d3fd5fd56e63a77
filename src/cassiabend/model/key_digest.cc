#include "cassiabend/model/key_digest.h"

#include <sodium/crypto_generichash.h>

#include <array>

namespace cassiabend {
namespace {

constexpr std::size_t kDigestBytes = 16;
static_assert(kDigestBytes >= crypto_generichash_BYTES_MIN);

/// \returns The big-endian number in 8 bytes.
std::uint64_t ReadNumber(const unsigned char* bytes) noexcept {
  constexpr int kBitsPerByte = 8;
  std::uint64_t n = 0;
  for (std::size_t i = 0; i < sizeof(n); ++i) {
    n = (n << kBitsPerByte) | bytes[i];
  }
  return n;
}

}  // namespace

KeyDigest DigestOfKey(std::string_view key) noexcept {
  std::array<unsigned char, kDigestBytes> buf{};
  crypto_generichash(buf.data(), buf.size(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), nullptr, 0);
  return {ReadNumber(buf.data()),
          ReadNumber(buf.data() + sizeof(std::uint64_t))};
}

}  // namespace cassiabend
