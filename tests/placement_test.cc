#include <doctest/doctest.h>

#include "cassiabend/core/placement/load_record.h"

namespace cassiabend {
namespace {

constexpr MonoTime kStart{Seconds(100)};

TEST_CASE("a report is trusted within its horizon") {
  LoadRecord record;
  CHECK_FALSE(record.At(kStart));
  record.Record(kStart, {2, 1, 6, 130}, 6);
  CHECK(record.At(kStart) == UpstreamLoad{2, 1, 6, 130});
  CHECK(record.At(kStart + LoadRecord::kHorizon - Milliseconds(1)));
  CHECK_FALSE(record.At(kStart + LoadRecord::kHorizon));
  record.Reset();
  CHECK_FALSE(record.At(kStart));
}

TEST_CASE("figures of a report that cannot be are bounded") {
  LoadRecord record;
  record.Record(kStart, {4'000'000'000, 4'000'000'000, 4'000'000'000, 1}, 6);
  CHECK(record.At(kStart) ==
        UpstreamLoad{12, 96, 12, LoadRecord::kMinTimePercent});
  record.Reset();
  record.Record(kStart, {0, 0, 0, 4'000'000'000}, 6);
  CHECK(record.At(kStart) ==
        UpstreamLoad{0, 0, 6, LoadRecord::kMaxTimePercent});
  record.Reset();
  record.Record(kStart, {0, 0, 4'000'000'000, 0}, 0);
  CHECK(record.At(kStart) == UpstreamLoad{0, 0, LoadRecord::kMaxSlots, 0});
}

TEST_CASE("the speed is a mean over the last reports") {
  LoadRecord record;
  MonoTime now = kStart;
  for (int i = 0; i < 40; ++i) {
    now += Milliseconds(50);
    record.Record(now, {1, 0, 6, i % 2 == 0 ? 100U : 180U}, 6);
  }
  const std::uint32_t mean = record.At(now)->time_percent;
  CHECK(mean > 125);
  CHECK(mean < 155);
  // One figure that is far off moves it little; a lasting change is followed.
  record.Record(now + Milliseconds(5), {1, 0, 6, 400}, 6);
  CHECK(record.At(now + Milliseconds(5))->time_percent < mean + 20);
  for (int i = 0; i < 20; ++i) {
    now += Milliseconds(50);
    record.Record(now, {1, 0, 6, 300}, 6);
  }
  CHECK(record.At(now)->time_percent > 280);
}

}  // namespace
}  // namespace cassiabend
