#include "cassiabend/base/hash.h"

#include <xxhash.h>

#include <array>
#include <charconv>

namespace cassiabend {
namespace {

constexpr std::size_t kHexDigitsPerWord = 16;

void AppendHex(std::uint64_t word, std::string* out) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  for (int shift = 60; shift >= 0; shift -= 4) {
    out->push_back(kDigits[(word >> shift) & 0xF]);
  }
}

bool ParseWord(std::string_view text, std::uint64_t* word) noexcept {
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, *word, 16);
  return ec == std::errc() && it == end;
}

ContentHash HashRange(const void* data, std::size_t n) noexcept {
  const XXH128_hash_t hash = XXH3_128bits(data, n);
  return {hash.high64, hash.low64};
}

}  // namespace

std::string ToHex(const Id128& id) {
  std::string out;
  out.reserve(2 * kHexDigitsPerWord);
  AppendHex(id.high, &out);
  AppendHex(id.low, &out);
  return out;
}

bool FromHex(std::string_view text, Id128* id) noexcept {
  if (text.size() != 2 * kHexDigitsPerWord) {
    return false;
  }
  Id128 parsed;
  if (!ParseWord(text.substr(0, kHexDigitsPerWord), &parsed.high) ||
      !ParseWord(text.substr(kHexDigitsPerWord), &parsed.low)) {
    return false;
  }
  *id = parsed;
  return true;
}

ContentHash HashBytes(std::span<const std::byte> bytes) noexcept {
  return HashRange(bytes.data(), bytes.size());
}

ContentHash HashText(std::string_view text) noexcept {
  return HashRange(text.data(), text.size());
}

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t RendezvousWeight(std::string_view key,
                               std::string_view member) noexcept {
  return Hash64(member, Hash64(key));
}

}  // namespace cassiabend
