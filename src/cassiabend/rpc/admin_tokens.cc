#include <sodium.h>

#include <array>
#include <string>

#include "cassiabend/rpc/admin_tokens.h"
#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {
namespace {

constexpr std::size_t kHashBytes = crypto_generichash_BYTES;
// Hexadecimal digits and the terminating zero.
constexpr std::size_t kHexBytes = 2 * kHashBytes + 1;

}  // namespace

std::string HashToken(std::string_view token) {
  std::array<unsigned char, kHashBytes> hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(token.data()),
                     token.size(), nullptr, 0);
  std::array<char, kHexBytes> hex{};
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  return hex.data();
}

const OperatorToken* FindOperator(const std::vector<OperatorToken>& operators,
                                  std::string_view token) {
  const std::string hash = HashToken(token);
  const OperatorToken* found = nullptr;
  for (const OperatorToken& it : operators) {
    const bool same =
        it.token_hash.size() == hash.size() &&
        sodium_memcmp(it.token_hash.data(), hash.data(), hash.size()) == 0;
    found = same ? &it : found;
  }
  return found;
}

bool MayChangeTeam(const OperatorToken& who, std::string_view team) {
  for (const std::string& it : who.teams) {
    if (it == "*" || (it == team && !team.empty())) {
      return true;
    }
  }
  return false;
}

}  // namespace cassiabend
