#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cassiabend/base/clock.h"
#include "cassiabend/base/compression.h"
#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"
#include "cassiabend/rpc/kj_thread.h"
#include "cassiabend/rpc/mesh_codec.h"
#include "cassiabend/rpc/peer_connection_pool.h"
#include "cassiabend/rpc/peer_transport.h"
#include "cassiabend/rpc/rpc_listener.h"

namespace cassiabend {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

constexpr Seconds kTestTimeout{20};
constexpr char kIp[] = "127.0.0.1";

/// \brief Records the events of one node.
class FleetSink final : public EventSink {
 public:
  void Post(Body body) override {
    events.push_back(std::get<FleetEvent>(std::move(body)));
  }

  /// \returns The newest event of type `T`; null when there is none.
  template <typename T>
  [[nodiscard]] const T* Last() const {
    for (auto it = events.rbegin(); it != events.rend(); ++it) {
      if (const T* event = std::get_if<T>(&*it)) {
        return event;
      }
    }
    return nullptr;
  }

  std::vector<FleetEvent> events;
};

/// \returns A port that is currently free for both UDP and TCP.
std::uint16_t FreePort(asio::io_context& io) {
  tcp::acceptor acceptor(io, {asio::ip::make_address(kIp), 0});
  const std::uint16_t port = acceptor.local_endpoint().port();
  const udp::socket socket(io, {asio::ip::make_address(kIp), port});
  return port;
}

struct Node {
  explicit Node(asio::io_context& io,
                Milliseconds timeout = Milliseconds(2'000))
      : id{kIp, FreePort(io)}, transport(io, Options(timeout), &sink) {}

  [[nodiscard]] PeerTransportOptions Options(Milliseconds timeout) const {
    PeerTransportOptions options;
    options.self = id;
    options.rpc_timeout = timeout;
    options.max_connections = 4;
    return options;
  }

  NodeId id;
  FleetSink sink;
  PeerTransport transport;
};

void RunUntil(asio::io_context& io, const std::function<bool()>& condition) {
  const SystemClock clock;
  const MonoTime end = clock.Now().mono + kTestTimeout;
  io.restart();
  while (!condition() && clock.Now().mono < end) {
    io.run_one_for(Milliseconds(20));
    io.restart();
  }
  REQUIRE(condition());
}

template <typename T>
const T& Await(asio::io_context& io, Node& node) {
  RunUntil(io, [&] { return node.sink.Last<T>() != nullptr; });
  return *node.sink.Last<T>();
}

Member SampleMember(const NodeId& id) {
  Member out;
  out.id = id;
  out.call_port = 8000;
  out.region = "puget";
  out.zone = "puget-a";
  out.start_id = 77;
  out.revision = 3;
  out.status = MemberStatus::kSuspect;
  out.service = "orders";
  out.slots = 12;
  out.upstream_state = UpstreamState::kServing;
  out.is_reader = true;
  return out;
}

Datagram SampleDatagram(const NodeId& from) {
  Datagram out;
  out.from = from;
  out.from_start_id = 5;
  out.mark = {9, {1, 2}};
  out.confirmed_age = Milliseconds(1'500);
  out.load_permille = 250;
  out.updates = {SampleMember({kIp, 7001})};
  out.unreachable_zones = {"puget-b"};
  out.members_digest = 0x1234567890ULL;
  out.body = PingRequestBody{11, {kIp, 7002}};
  return out;
}

RefPtr<const Snapshot> SampleSnapshot() {
  Config config;
  config.number = 4;
  config.parent = 3;
  config.change_id = {5, 6};
  config.author = "ann";
  config.services = {{"orders", "cascadia", 4}};
  return new Snapshot(config);
}

TEST_CASE("every type of datagram is delivered unchanged") {
  const decltype(Datagram::body) bodies[] = {
      PingBody{1},
      AckBody{2},
      PingRequestBody{3, {kIp, 7002}},
      HeartbeatBody{4, Milliseconds(250)},
      JoinBody{},
      AttachBody{5},
      UseReport{UseScope::kElsewhere,
                700,
                {{.team = ~0ULL,
                  .admitted = 8,
                  .held = 9,
                  .demand_per_1000s = 1ULL << 40}}}};
  asio::io_context io;
  Node a(io);
  Node b(io);
  for (const auto& body : bodies) {
    CAPTURE(body.index());
    b.sink.events.clear();
    Datagram sent = SampleDatagram(a.id);
    sent.body = body;
    a.transport.Execute(SendDatagram{b.id, sent});
    const Datagram& got = Await<DatagramReceived>(io, b).datagram;
    CHECK(got.from == a.id);
    CHECK(got.from_start_id == sent.from_start_id);
    CHECK(got.mark == sent.mark);
    CHECK(got.confirmed_age == sent.confirmed_age);
    CHECK(got.load_permille == sent.load_permille);
    CHECK(got.updates == sent.updates);
    CHECK(got.unreachable_zones == sent.unreachable_zones);
    CHECK(got.members_digest == sent.members_digest);
    REQUIRE(got.body.index() == body.index());
    if (const auto* heartbeat = std::get_if<HeartbeatBody>(&got.body)) {
      CHECK(heartbeat->sequence == 4);
      CHECK(heartbeat->held == Milliseconds(250));
    }
    if (const auto* attach = std::get_if<AttachBody>(&got.body)) {
      CHECK(attach->sequence == 5);
    }
    if (const auto* report = std::get_if<UseReport>(&got.body)) {
      CHECK(*report == std::get<UseReport>(body));
    }
  }
  const PeerTraffic sent = a.transport.traffic();
  const PeerTraffic received = b.transport.traffic();
  CHECK(sent.datagrams_sent == 7);
  CHECK(received.datagrams_received == 7);
  CHECK(sent.heartbeat_bytes_sent == received.heartbeat_bytes_received);
  CHECK(sent.membership_bytes_sent == received.membership_bytes_received);
  CHECK(sent.heartbeat_bytes_sent > 0);
}

TEST_CASE("a datagram over the size limit omits its last updates") {
  Datagram datagram = SampleDatagram({kIp, 7000});
  datagram.updates.assign(200, SampleMember({kIp, 7001}));
  datagram.confirmed_age.reset();
  const std::string bytes = EncodeDatagram(datagram);
  CHECK(bytes.size() <= kMaxDatagramBytes);
  const Datagram got = DecodeDatagram(bytes);
  CHECK(got.updates.size() > 10);
  CHECK_FALSE(got.confirmed_age);
}

TEST_CASE("truncated and corrupted datagrams decode or throw an Error") {
  const std::string bytes = EncodeDatagram(SampleDatagram({kIp, 7000}));
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    std::string altered = bytes;
    altered[n] = static_cast<char>(altered[n] ^ 0xFF);
    for (const std::string& it : {bytes.substr(0, n), altered}) {
      try {
        const Datagram ignored = DecodeDatagram(it);
      } catch (const Error& ex) {
        CHECK(std::string(ex.what()).size() > 0);
      }
    }
  }
  // Runs of zeros in the packed form must not expand without limit.
  CHECK_THROWS_AS((void)DecodeDatagram(std::string(1'400, '\xFF')), Error);
}

TEST_CASE("a push returns the receiver's mark") {
  asio::io_context io;
  Node a(io);
  Node b(io);
  const RefPtr<const Snapshot> snapshot = SampleSnapshot();
  ConfigUpdate update{snapshot->mark(), snapshot, Milliseconds(40)};
  a.transport.Execute(SendPush{b.id, update});
  const PushReceived got = Await<PushReceived>(io, b);
  CHECK(got.update.mark == snapshot->mark());
  CHECK(got.update.confirmed_age == update.confirmed_age);
  const auto& full = std::get<RefPtr<const Snapshot>>(got.update.body);
  CHECK(full->config() == snapshot->config());
  b.transport.Execute(ReplyPush{got.request, {8, {1, 1}}});
  const PushReplied& reply = Await<PushReplied>(io, a);
  CHECK(reply.peer == b.id);
  CHECK(reply.mark == VersionMark{8, {1, 1}});
  CHECK(a.transport.traffic().config_bytes_sent > 0);
  CHECK(b.transport.traffic().config_bytes_received > 0);
}

TEST_CASE("a pull returns each type of update") {
  asio::io_context io;
  Node a(io);
  Node b(io);
  ConfigDelta delta;
  delta.base = {3, {1, 1}};
  delta.mark = {4, {2, 2}};
  delta.edits = {{Service{"orders", "cascadia", 4}, 0}};
  const decltype(ConfigUpdate::body) bodies[] = {NoUpdate{}, ShareDelta(delta),
                                                 SampleSnapshot(),
                                                 BusyUpdate{Milliseconds(75)}};
  for (const auto& body : bodies) {
    CAPTURE(body.index());
    a.sink.events.clear();
    b.sink.events.clear();
    a.transport.Execute(SendPull{b.id, {3, {1, 1}}});
    const PullReceived got = Await<PullReceived>(io, b);
    CHECK(got.have == VersionMark{3, {1, 1}});
    b.transport.Execute(ReplyPull{got.request, {{4, {2, 2}}, body, {}}});
    const PullReplied& reply = Await<PullReplied>(io, a);
    REQUIRE(reply.update);
    CHECK(reply.update->body.index() == body.index());
    CHECK_FALSE(reply.update->confirmed_age);
    if (const auto* it = std::get_if<DeltaPtr>(&reply.update->body)) {
      CHECK((*it)->delta() == delta);
    }
  }
}

TEST_CASE("a peer returns its members and receives drain requests") {
  asio::io_context io;
  Node a(io);
  Node b(io);
  a.transport.Execute(SendMembersRequest{b.id});
  const MembersRequested got = Await<MembersRequested>(io, b);
  const std::vector<Member> members = {SampleMember(a.id), SampleMember(b.id)};
  b.transport.Execute(ReplyMembers{got.request, members});
  CHECK(Await<MembersReplied>(io, a).members == members);
  CHECK(b.transport.traffic().membership_bytes_sent > 100);
  CHECK(b.transport.traffic().membership_bytes_sent ==
        a.transport.traffic().membership_bytes_received);

  bool drained = false;
  b.transport.SetDrainHandler([&] { drained = true; });
  a.transport.RequestDrain(b.id);
  RunUntil(io, [&] { return drained; });
}

TEST_CASE("a call to a peer that does not listen fails") {
  asio::io_context io;
  Node a(io);
  const NodeId nobody{kIp, FreePort(io)};
  a.transport.Execute(SendPush{nobody, {}});
  CHECK_FALSE(Await<PushReplied>(io, a).mark);
  a.transport.Execute(SendPull{nobody, {}});
  CHECK_FALSE(Await<PullReplied>(io, a).update);
  a.transport.Execute(SendMembersRequest{nobody});
  CHECK_FALSE(Await<MembersReplied>(io, a).members);
  a.sink.events.clear();
  a.transport.Execute(SendPush{{"localhost", nobody.peer_port}, {}});
  CHECK_FALSE(Await<PushReplied>(io, a).mark);
}

TEST_CASE("a call without a reply times out and the next one reconnects") {
  asio::io_context io;
  Node a(io, Milliseconds(150));
  auto b = std::make_unique<Node>(io);
  a.transport.Execute(SendPull{b->id, {}});
  CHECK(Await<PullReceived>(io, *b).request != 0);
  // `b` sends no reply.
  CHECK_FALSE(Await<PullReplied>(io, a).update);
  a.sink.events.clear();
  b->sink.events.clear();
  a.transport.Execute(SendPull{b->id, {}});
  const PullReceived got = Await<PullReceived>(io, *b);
  b->transport.Execute(ReplyPull{got.request, {}});
  CHECK(Await<PullReplied>(io, a).update);

  tcp::acceptor mute(io, {asio::ip::make_address(kIp), 0});
  a.sink.events.clear();
  a.transport.Execute(SendPush{{kIp, mute.local_endpoint().port()}, {}});
  CHECK_FALSE(Await<PushReplied>(io, a).mark);
}

TEST_CASE("a call fails when its peer stops before replying") {
  asio::io_context io;
  Node a(io);
  auto b = std::make_unique<Node>(io);
  a.transport.Execute(SendPull{b->id, {}});
  CHECK(Await<PullReceived>(io, *b).request != 0);
  b.reset();
  CHECK_FALSE(Await<PullReplied>(io, a).update);
}

TEST_CASE("invalid input on both ports is dropped and the node still serves") {
  asio::io_context io;
  Node a(io);
  Node b(io);
  const std::string garbage[] = {"GET / HTTP/1.1\r\n\r\n",
                                 std::string(4'000, '\xFF'),
                                 std::string(4'000, '\0'), "x"};
  udp::socket from(io, {asio::ip::make_address(kIp), 0});
  for (const std::string& it : garbage) {
    from.send_to(asio::buffer(it),
                 udp::endpoint(asio::ip::make_address(kIp), b.id.peer_port));
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address(kIp), b.id.peer_port});
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(it), ec);
    socket.shutdown(tcp::socket::shutdown_send, ec);
    std::string received;
    asio::read(socket, asio::dynamic_buffer(received), ec);
    CHECK(ec);
  }
  const std::string forged = EncodeDatagram(SampleDatagram(a.id));
  from.send_to(asio::buffer(forged),
               udp::endpoint(asio::ip::make_address(kIp), b.id.peer_port));
  RunUntil(io, [&] { return b.transport.traffic().rejected_messages >= 5; });
  CHECK(b.sink.Last<DatagramReceived>() == nullptr);

  a.transport.Execute(SendMembersRequest{b.id});
  const MembersRequested got = Await<MembersRequested>(io, b);
  b.transport.Execute(ReplyMembers{got.request, {}});
  CHECK(Await<MembersReplied>(io, a).members);
}

TEST_CASE("the push of a damaged version fails and the node still serves") {
  asio::io_context io;
  Node a(io);
  Node b(io);
  const std::string whole = SampleSnapshot()->packed();
  const std::string damaged[] = {"", "no frame", whole.substr(0, 20),
                                 Compress("not a message"),
                                 Compress(std::string(100'000, '\0'))};
  for (const std::string& it : damaged) {
    CAPTURE(it.size());
    TcpCounters counters;
    std::atomic<int> ends{0};
    std::atomic<int> failures{0};
    KjThread kj;
    std::unique_ptr<PeerConnectionPool> pool;
    kj::Promise<void> push = nullptr;
    kj.Run([&] {
      pool = std::make_unique<PeerConnectionPool>(
          kj.io(), PeerTransportOptions{}, &counters);
      push = pool->Call(b.id,
                        [&it](schema::Peer::Client& peer) {
                          auto request = peer.pushRequest();
                          request.initUpdate().setPackedFull(
                              {reinterpret_cast<const kj::byte*>(it.data()),
                               it.size()});
                          return request.send().ignoreResult();
                        })
                 .then([&ends] { ++ends; },
                       [&](kj::Exception&& /*ex*/) {
                         ++failures;
                         ++ends;
                       })
                 .eagerlyEvaluate(nullptr);
    });
    RunUntil(io, [&] { return ends == 1; });
    CHECK(failures == 1);
    kj.Run([&] {
      push = nullptr;
      pool = nullptr;
    });
  }
  CHECK(b.sink.Last<PushReceived>() == nullptr);
  a.transport.Execute(SendMembersRequest{b.id});
  const MembersRequested got = Await<MembersRequested>(io, b);
  b.transport.Execute(ReplyMembers{got.request, {}});
  CHECK(Await<MembersReplied>(io, a).members);
}

TEST_CASE("surplus and idle connections are closed") {
  asio::io_context io;
  KjThread kj;
  TcpCounters counters;
  std::unique_ptr<RpcListener> listener;
  kj.Run([&] {
    listener = std::make_unique<RpcListener>(
        kj.io(),
        RpcListenerOptions{.ip = kIp,
                           .max_connections = 1,
                           .max_message_bytes = 1'000,
                           .idle_timeout = Milliseconds(100)},
        nullptr, &counters);
  });
  for (int i = 0; i < 2; ++i) {
    tcp::socket idle(io);
    idle.connect({asio::ip::make_address(kIp), listener->port()});
    tcp::socket surplus(io);
    surplus.connect({asio::ip::make_address(kIp), listener->port()});
    for (tcp::socket* it : {&surplus, &idle}) {
      char byte = 0;
      boost::system::error_code ec;
      it->receive(asio::buffer(&byte, 1), 0, ec);
      CHECK(ec);
    }
  }
  CHECK(counters.rejected == 2);
  kj.Run([&] { listener.reset(); });
}

TEST_CASE("opening a port that is in use throws") {
  asio::io_context io;
  Node a(io);
  FleetSink sink;
  CHECK_THROWS_AS(PeerTransport(io, a.Options(Milliseconds(100)), &sink),
                  RpcError);
}

}  // namespace
}  // namespace cassiabend
