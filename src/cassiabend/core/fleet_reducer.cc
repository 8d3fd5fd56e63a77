#include "cassiabend/core/fleet_reducer.h"

#include <iterator>

#include "cassiabend/core/fleet_reducer_impl.h"

namespace cassiabend {

std::string_view NameOf(HeadState state) noexcept {
  static constexpr std::string_view kNames[] = {"unknown", "absent", "current",
                                                "older",   "fork",   "damaged"};
  static_assert(std::size(kNames) ==
                static_cast<std::size_t>(HeadState::kDamaged) + 1);
  return kNames[static_cast<std::size_t>(state)];
}

FleetReducer::FleetReducer(const FleetOptions& options,
                           const Member& self,
                           std::uint64_t seed)
    : impl_(std::make_unique<Impl>(options, self, seed)) {}

FleetReducer::~FleetReducer() = default;

void FleetReducer::Reduce(const Instant& now,
                          const FleetEvent& event,
                          std::vector<FleetEffect>* out) {
  impl_->Reduce(now, event, out);
}

std::vector<MemberView> FleetReducer::Members(const Instant& now) const {
  return impl_->Members(now);
}

FleetCounts FleetReducer::counts() const noexcept {
  return impl_->counts();
}

RefPtr<const Snapshot> FleetReducer::newest() const noexcept {
  return impl_->versions().newest();
}

bool FleetReducer::is_reader() const noexcept {
  return impl_->is_reader();
}

std::optional<MonoTime> FleetReducer::confirmed_at() const noexcept {
  return impl_->freshness().confirmed_at();
}

}  // namespace cassiabend
