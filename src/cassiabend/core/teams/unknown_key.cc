#include "cassiabend/core/teams/unknown_key.h"

namespace cassiabend {

UnknownKeyAction JudgeUnknownKey(const UnknownKey& key) noexcept {
  if (key.confirmed_at && *key.confirmed_at >= key.arrived_at) {
    return UnknownKeyAction::kRefuse;
  }
  if (key.now < key.wait_until) {
    return UnknownKeyAction::kWait;
  }
  const bool is_recent =
      key.confirmed_at && key.now - *key.confirmed_at <= key.age_limit;
  return is_recent ? UnknownKeyAction::kRefuse
                   : UnknownKeyAction::kRefuseAsStale;
}

}  // namespace cassiabend
