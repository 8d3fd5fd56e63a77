#include <doctest/doctest.h>

#include "cassiabend/core/fleet_reducer.h"

namespace cassiabend {
namespace {

/// \brief One reducer and eight simulated peers of its zone.
class Zone {
 public:
  static Member MemberAt(int n) {
    Member member;
    member.id = {"10.0.0." + std::to_string(n), 1};
    member.region = "r";
    member.zone = "a";
    member.start_id = 1;
    member.revision = 1;
    return member;
  }

  Zone() : reducer_(FleetOptions{}, MemberAt(1), 7) {
    MembersReplied answered{.peer = MemberAt(2).id,
                            .members = std::vector<Member>()};
    for (int i = 2; i < 10; ++i) {
      answered.members->push_back(MemberAt(i));
    }
    Send(answered);
    Datagram ping{
        .from = MemberAt(2).id, .from_start_id = 1, .body = PingBody{1}};
    own_digest_ = Answer(ping).members_digest;
  }

  [[nodiscard]] std::uint64_t own_digest() const { return own_digest_; }

  /// \returns The number of member list requests caused by `n` pings with
  /// `digest`, from the peers in turn, `pause` apart.
  int RequestsAfter(int n, std::uint64_t digest, Nanoseconds pause) {
    int requests = 0;
    for (int i = 0; i < n; ++i) {
      requests += RequestsFrom(2 + i % 8, digest, pause);
    }
    return requests;
  }

  /// \returns The number of member list requests caused by one ping from
  /// `peer`, sent after `pause`.
  int RequestsFrom(int peer, std::uint64_t digest, Nanoseconds pause) {
    now_.mono += pause;
    Datagram ping{
        .from = MemberAt(peer).id, .from_start_id = 1, .body = PingBody{1}};
    ping.members_digest = digest;
    int requests = 0;
    for (const FleetEffect& it : Send(DatagramReceived{ping})) {
      requests += std::holds_alternative<SendMembersRequest>(it) ? 1 : 0;
    }
    return requests;
  }

 private:
  std::vector<FleetEffect> Send(const FleetEvent& event) {
    std::vector<FleetEffect> out;
    reducer_.Reduce(now_, event, &out);
    return out;
  }

  Datagram Answer(const Datagram& datagram) {
    for (const FleetEffect& it : Send(DatagramReceived{datagram})) {
      if (const auto* send = std::get_if<SendDatagram>(&it)) {
        return send->datagram;
      }
    }
    return {};
  }

  FleetReducer reducer_;
  Instant now_{MonoTime(Seconds(100)), WallTime(Seconds(1'000'000))};
  std::uint64_t own_digest_ = 0;
};

TEST_CASE("equal digests and short differences cause no requests") {
  Zone zone;
  REQUIRE(zone.own_digest() != 0);
  CHECK(zone.RequestsAfter(100, zone.own_digest(), Milliseconds(100)) == 0);
  for (int i = 0; i < 50; ++i) {
    CHECK(zone.RequestsAfter(2, 1, Milliseconds(100)) == 0);
    CHECK(zone.RequestsAfter(6, zone.own_digest(), Milliseconds(100)) == 0);
  }
}

TEST_CASE("a peer that keeps differing is asked at growing intervals") {
  Zone zone;
  // Eight peers in turn, 20 ms apart: no peer is asked within 4 s.
  CHECK(zone.RequestsAfter(200, 1, Milliseconds(20)) == 0);
  CHECK(zone.RequestsAfter(100, 1, Milliseconds(20)) == 1);
  // Ten minutes of differing digests, ten a second.
  const int requests = zone.RequestsAfter(6'000, 1, Milliseconds(100));
  CHECK(requests >= 5);
  CHECK(requests <= 20);
}

TEST_CASE("peers that agree do not hide one that keeps differing") {
  Zone zone;
  int requests = 0;
  for (int i = 0; i < 100; ++i) {
    requests += zone.RequestsFrom(2, 1, Milliseconds(100));
    for (int peer = 3; peer < 10; ++peer) {
      requests += zone.RequestsFrom(peer, zone.own_digest(), Milliseconds(10));
    }
  }
  CHECK(requests >= 1);
  CHECK(requests <= 3);
}

}  // namespace
}  // namespace cassiabend
