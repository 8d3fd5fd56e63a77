#include <doctest/doctest.h>

#include "cassiabend/core/fleet_reducer.h"
#include "tests/support/fleet_driver.h"

namespace cassiabend::testing {
namespace {

std::size_t PingsIn(const std::vector<FleetEffect>& effects) {
  std::size_t n = 0;
  for (const FleetEffect& it : effects) {
    const auto* send = std::get_if<SendDatagram>(&it);
    const auto* ping =
        send == nullptr ? nullptr : std::get_if<PingBody>(&send->datagram.body);
    n += ping != nullptr && ping->sequence == 0 ? 1 : 0;
  }
  return n;
}

TEST_CASE("a survey pings only members with older versions, a few per tick") {
  constexpr std::size_t kMembers = 200;
  Member self{.id = {"10.0.0.1", 1},
              .region = "r",
              .zone = "a",
              .start_id = 1,
              .revision = 1};
  FleetReducer reducer(FleetOptions{}, self, 7);
  std::vector<FleetEffect> out;
  Instant now{MonoTime(Seconds(1)), WallTime(Seconds(1'000'000))};
  MembersReplied answered{.peer = {"10.0.0.2", 1},
                          .members = std::vector<Member>()};
  for (std::size_t i = 0; i < kMembers; ++i) {
    Member member = self;
    member.id = {"10.0.1." + std::to_string(i), 1};
    member.zone = "b";
    answered.members->push_back(member);
  }
  reducer.Reduce(now, answered, &out);
  Config config;
  config.number = 1;
  const RefPtr<const Snapshot> snapshot(new Snapshot(config));
  reducer.Reduce(now, VersionCommitted{.snapshot = snapshot}, &out);

  const auto tick_pings = [&] {
    now.mono += kFleetTickPeriod;
    out.clear();
    reducer.Reduce(now, FleetTick{}, &out);
    return PingsIn(out);
  };
  CHECK(tick_pings() == 0);
  reducer.Reduce(now, VersionSurveyRequested{}, &out);
  std::size_t pinged = 0;
  for (int i = 0; i < 4; ++i) {
    const std::size_t n = tick_pings();
    CHECK(n <= 64);
    pinged += n;
  }
  CHECK(pinged >= kMembers);

  for (std::size_t i = 0; i < kMembers; ++i) {
    Datagram ack{.from = {"10.0.1." + std::to_string(i), 1},
                 .from_start_id = 1,
                 .mark = snapshot->mark(),
                 .body = AckBody{0}};
    reducer.Reduce(now, DatagramReceived{ack}, &out);
  }
  CHECK(tick_pings() == 0);
  for (const MemberView& it : reducer.Members(now)) {
    CHECK(it.mark == snapshot->mark());
  }
}

}  // namespace
}  // namespace cassiabend::testing
