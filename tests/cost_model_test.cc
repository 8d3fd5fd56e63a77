#include "cassiabend/core/cost_model.h"

#include <doctest/doctest.h>

namespace cassiabend {
namespace {

constexpr Milliseconds kObjective{250};
constexpr std::uint32_t kSlots = 12;

MonoTime At(int ms) {
  return MonoTime(Seconds(100)) + Milliseconds(ms);
}

/// \brief A service whose calls take 60 ms, with one upstream in the own zone
/// and one in another region, where the round trip takes 24 ms longer.
class CostModelDriver {
 public:
  /// \param kilobytes Size of an answer's body.
  explicit CostModelDriver(double kilobytes) {
    for (int i = 0; i < 100; ++i) {
      Answer(At(0), Locality::kSameZone, 60, 0, &near_);
      Answer(At(0), Locality::kOtherRegion, 60, 0, &far_);
      cost_model_.RecordAnswerSize(
          "svc", "read", static_cast<std::uint64_t>(kilobytes * 1'000));
    }
  }

  void Answer(MonoTime now,
              Locality locality,
              int service_ms,
              std::uint16_t load_permille,
              UpstreamStats* stats) {
    const Milliseconds round_trip(locality == Locality::kSameZone ? 1 : 25);
    const Milliseconds service(service_ms);
    cost_model_.RecordAnswer(now, "svc", "read", locality, service + round_trip,
                             {load_permille, service, service}, stats);
  }
  /// \returns Whether the upstream of the own zone has the lower cost.
  bool PrefersNear(MonoTime now) {
    cost_model_.SetCall("svc", "read", kObjective);
    return cost_model_.Cost(now, Locality::kSameZone, kSlots, near_) <
           cost_model_.Cost(now, Locality::kOtherRegion, kSlots, far_);
  }

  UpstreamStats near_;
  UpstreamStats far_;

 private:
  CostModel cost_model_{{.same_region_kilobyte = Microseconds(5'000),
                         .other_region_kilobyte = Microseconds(18'000)}};
};

TEST_CASE("the upstream of the own zone is preferred while it has free slots") {
  CostModelDriver driver(1.5);
  CHECK(driver.PrefersNear(At(10)));
  driver.Answer(At(10), Locality::kSameZone, 60, 900, &driver.near_);
  CHECK(driver.PrefersNear(At(20)));
}

TEST_CASE("a long queue sends small answers, but not large ones, elsewhere") {
  CostModelDriver small(1.5);
  small.Answer(At(10), Locality::kSameZone, 60, 6'000, &small.near_);
  CHECK_FALSE(small.PrefersNear(At(20)));
  CostModelDriver large(90);
  large.Answer(At(10), Locality::kSameZone, 60, 6'000, &large.near_);
  CHECK(large.PrefersNear(At(20)));
}

TEST_CASE("calls sent since the last reported load add to that load") {
  CostModelDriver driver(1.5);
  driver.Answer(At(10), Locality::kSameZone, 60, 0, &driver.near_);
  for (int i = 0; i < 60; ++i) {
    CostModel::RecordStart(&driver.near_);
  }
  CHECK_FALSE(driver.PrefersNear(At(20)));
}

TEST_CASE("a slow upstream is avoided at first and tried again later") {
  CostModelDriver driver(1.5);
  for (int i = 0; i < 10; ++i) {
    driver.Answer(At(10 + i), Locality::kSameZone, 720, 100, &driver.near_);
  }
  CHECK_FALSE(driver.PrefersNear(At(100)));
  CHECK(driver.PrefersNear(At(60'000)));
}

TEST_CASE("a failing upstream is avoided at first and tried again later") {
  CostModelDriver driver(1.5);
  for (int i = 0; i < 20; ++i) {
    CostModel::RecordFailure(At(10 + i), &driver.near_);
  }
  CHECK_FALSE(driver.PrefersNear(At(40)));
  CHECK(driver.PrefersNear(At(60'000)));
}

}  // namespace
}  // namespace cassiabend
