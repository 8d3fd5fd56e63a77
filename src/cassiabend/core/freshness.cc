#include "cassiabend/core/freshness.h"

#include <chrono>

namespace cassiabend {
namespace {

/// The clocks of two hosts may differ in rate by one part in this number.
constexpr std::int64_t kClockRateDivisor = 1'000;

}  // namespace

std::optional<Milliseconds> Freshness::AgeAt(MonoTime now) const noexcept {
  if (!confirmed_at_) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(now - *confirmed_at_);
}

void Freshness::Confirm(const FleetContext& context, MonoTime at) {
  if (at > context.now() || (confirmed_at_ && at <= *confirmed_at_)) {
    return;
  }
  confirmed_at_ = at;
  context.Emit(HeadConfirmed{at});
}

void Freshness::ConfirmByPeer(const FleetContext& context,
                              MonoTime sent_at,
                              Milliseconds held,
                              std::optional<Milliseconds> age) {
  if (!age) {
    return;
  }
  const Nanoseconds allowance = Nanoseconds(held + *age) / kClockRateDivisor;
  Confirm(context, sent_at + held - *age - allowance);
}

}  // namespace cassiabend
