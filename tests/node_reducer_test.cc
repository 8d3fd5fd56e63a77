#include <doctest/doctest.h>

#include <utility>

#include "cassiabend/core/event_sink.h"
#include "cassiabend/core/node_reducer.h"

namespace cassiabend {
namespace {

constexpr std::uint64_t kClockStart = 100;
constexpr std::uint64_t kEarlierStart = 500;

Member Self() {
  Member self;
  self.id = {"10.0.0.1", 1};
  self.call_port = 2;
  self.region = "r";
  self.zone = "a";
  self.start_id = kClockStart;
  self.revision = 1;
  self.service = "orders";
  self.slots = 2;
  self.upstream_state = UpstreamState::kWarming;
  return self;
}

/// \brief A node with a configuration and a healthy upstream.
class NodeDriver {
 public:
  NodeDriver() : reducer_({.self = Self(), .seed = 7}) {
    Config config;
    config.number = 1;
    config.services.push_back({.name = "orders", .revision = 1});
    const RefPtr<const Snapshot> snapshot(new Snapshot(config));
    Send(FleetEvent(
        VersionCommitted{.snapshot = snapshot, .confirmed_at = now_.mono}));
    Send(CallEvent(UpstreamProbed{.healthy = true}));
    Send(CallEvent(UpstreamProbed{.healthy = true}));
  }

  Effects Send(EventSink::Body body) {
    return reducer_.Reduce({now_, std::move(body)});
  }

  /// \returns Whether the node runs an attempt addressed to this start id.
  bool Runs(std::uint64_t start_id) {
    AttemptArrived arrived;
    arrived.connection = ++link_;
    arrived.request.id = {1, link_};
    arrived.request.destination_start_id = start_id;
    arrived.request.service = "orders";
    arrived.request.deadline = Milliseconds(1'000);
    for (const Effect& it : Send(CallEvent(arrived))) {
      const auto* call = std::get_if<CallEffect>(&it);
      if (call != nullptr && std::holds_alternative<StartUpstream>(*call)) {
        return true;
      }
    }
    return false;
  }

 private:
  NodeReducer reducer_;
  Instant now_{MonoTime(Seconds(100)), WallTime(Seconds(1'000'000))};
  ConnectionId link_ = 0;
};

/// Start ids come from the clock. When the clock has gone back, a new process
/// has a lower start id than the process before it, so peers take its member
/// record for an old one. The node then announces a start id above the earlier
/// one, and must accept attempts under that one only.
TEST_CASE("a process whose clock went back is reached under its new start id") {
  NodeDriver node;
  CHECK(node.Runs(kClockStart));

  // A peer remembers an earlier process at this address with a greater start
  // id.
  Datagram ping{
      .from = {"10.0.0.2", 1}, .from_start_id = 1, .body = PingBody{1}};
  Member earlier = Self();
  earlier.start_id = kEarlierStart;
  ping.updates = {earlier};
  node.Send(FleetEvent(DatagramReceived{ping}));

  CHECK(node.Runs(kEarlierStart + 1));
  CHECK_FALSE(node.Runs(kEarlierStart));
  CHECK_FALSE(node.Runs(kClockStart));
}

}  // namespace
}  // namespace cassiabend
