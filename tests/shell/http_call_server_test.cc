#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "tests/support/raw_peer.h"
#include "tests/support/scripted_node.h"
#include "tools/fake_upstream_server.h"

namespace cassiabend {
namespace {

constexpr Milliseconds kDeadline{5'000};

CallServerOptions OptionsFor(std::uint16_t upstream_port) {
  return {.upstream_ip = "127.0.0.1",
          .upstream_port = upstream_port,
          .health_path = ""};
}

std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: shop.example\r\n\r\n";
}

/// \brief An entry node, a destination node and its upstream on one thread.
struct TwoNodes {
  explicit TwoNodes(const FakeUpstreamOptions& upstream_options = {},
                    CallServerOptions options = OptionsFor(0))
      : upstream(io, upstream_options) {
    entry = std::make_unique<ScriptedNode>(io, options);
    options.upstream_port = upstream.port();
    destination = std::make_unique<ScriptedNode>(io, options);
    ScriptEntry(entry.get(), destination.get());
    ScriptDestination(destination.get());
  }

  [[nodiscard]] std::shared_ptr<RawPeer> Caller() {
    return RawPeer::Connect(io, entry->port());
  }
  [[nodiscard]] bool Until(const std::function<bool()>& holds) {
    return RunUntil(io, holds);
  }

  boost::asio::io_context io;
  FakeUpstream upstream;
  std::unique_ptr<ScriptedNode> entry;
  std::unique_ptr<ScriptedNode> destination;
};

TEST_CASE("a call through two nodes keeps its metadata and attempt fields") {
  TwoNodes nodes;
  const auto caller = nodes.Caller();
  caller->Send(
      "POST /echo?x=1 HTTP/1.1\r\nHost: Shop.Example:81\r\n"
      "X-Cassiabend-Team: silfur\r\nX-Cassiabend-Deadline-Ms: 700\r\n"
      "X-Cassiabend-Depth: 3\r\nX-Cassiabend-Retry: 1\r\n"
      "Idempotency-Key: k1\r\nX-Site: workshop\r\nConnection: x-hop\r\n"
      "X-Hop: 1\r\nContent-Length: 5\r\n\r\nhello");
  const CallMetadata metadata = nodes.entry->Await<CallArrived>().metadata;
  CHECK(metadata.team == "silfur");
  CHECK(metadata.host == "shop.example");
  CHECK(metadata.path == "/echo");
  CHECK(metadata.method == "POST");
  CHECK(metadata.order_key == "k1");
  CHECK(metadata.deadline == Milliseconds(700));
  CHECK(metadata.depth == 3);
  CHECK(metadata.is_retry);
  const AttemptArrived arrived = nodes.destination->Await<AttemptArrived>();
  const AttemptRequest sent = ExampleAttempt(1);
  CHECK(arrived.request.id == sent.id);
  CHECK(arrived.request.route == sent.route);
  CHECK(arrived.request.service == sent.service);
  CHECK(arrived.request.team == sent.team);
  CHECK(arrived.request.request_class == sent.request_class);
  CHECK(arrived.request.order_key == sent.order_key);
  CHECK(arrived.request.site == sent.site);
  CHECK(arrived.request.noisy);
  CHECK(arrived.request.once);
  CHECK(arrived.request.longest_job == sent.longest_job);
  CHECK(arrived.request.config_number == sent.config_number);
  CHECK(arrived.request.deadline == sent.deadline);
  CHECK(arrived.request.depth == sent.depth);
  CHECK(arrived.request.is_retry);
  CHECK(arrived.request.expires_at == sent.expires_at);
  CHECK(nodes.entry->Await<AnswerRelayed>().complete);
  CHECK(nodes.upstream.executions().CountOfAttempt(ToHex(sent.id)) == 1);
  CHECK(nodes.upstream.executions().CountOfKey("k1") == 1);
  CHECK(nodes.Until([&] { return caller->Has("HTTP/1.1 200 OK"); }));
  CHECK(caller->Has("X-Cassiabend-Outcome: answered"));
}

TEST_CASE("a call to this host's upstream needs no connection between nodes") {
  boost::asio::io_context io;
  FakeUpstream upstream(io, {});
  ScriptedNode node(io, OptionsFor(upstream.port()));
  ScriptBoth(&node, kDeadline);
  const auto caller = RawPeer::Connect(io, node.port());
  caller->Send(Get("/bytes/10"));
  CHECK(node.Await<AnswerRelayed>().complete);
  CHECK(RunUntil(io, [&] { return caller->Has("\r\n\r\nxxxxxxxxxx"); }));
  CHECK(node.server().counts().connections == 1);
  CHECK(node.Count<ConnectionLost>() == 0);
}

TEST_CASE("pipelined requests are answered in order") {
  TwoNodes nodes;
  const auto caller = nodes.Caller();
  caller->Send(Get("/bytes/11") + Get("/bytes/22") + Get("/bytes/33"));
  (void)nodes.entry->Await<AnswerRelayed>(3);
  CHECK(nodes.Until([&] { return caller->Has("Content-Length: 33"); }));
  const std::string& all = caller->received();
  CHECK(all.find("Content-Length: 11") < all.find("Content-Length: 22"));
  CHECK(all.find("Content-Length: 22") < all.find("Content-Length: 33"));
}

TEST_CASE("pipelined requests are posted before the first is answered") {
  boost::asio::io_context io;
  CallServerOptions options = OptionsFor(0);
  options.max_pipelined_requests = 3;
  ScriptedNode node(io, options);
  const auto caller = RawPeer::Connect(io, node.port());
  caller->Send(Get("/1") + Get("/2") + Get("/3") + Get("/4"));
  CHECK(node.Await<CallArrived>(3).waits_turn);
  CHECK(node.Count<CallArrived>() == 3);
  CHECK(node.server().counts().pipelined_requests == 2);
}

TEST_CASE("a slow reader gets a large answer complete and in bounded memory") {
  constexpr std::size_t kBytes = std::size_t{16} * 1024 * 1024;
  constexpr std::size_t kMaxHeldBytes = std::size_t{2} * 1024 * 1024;
  TwoNodes nodes;
  const auto caller = nodes.Caller();
  caller->Pause();
  caller->Send(Get("/bytes/" + std::to_string(kBytes)));
  std::uint64_t max_held = 0;
  const auto held = [&] {
    return nodes.entry->server().counts().held_bytes +
           nodes.destination->server().counts().held_bytes;
  };
  REQUIRE(nodes.Until([&] { return !caller->received().empty(); }));
  std::size_t taken = 0;
  bool is_reading = false;
  REQUIRE(nodes.Until([&] {
    max_held = std::max(max_held, held());
    if (caller->received().size() != taken || !is_reading) {
      taken = caller->received().size();
      is_reading = true;
      caller->Read();
    }
    return taken >= kBytes || caller->closed();
  }));
  CHECK(nodes.entry->Await<AnswerRelayed>().complete);
  CHECK(max_held < kMaxHeldBytes);
  const std::size_t body = caller->received().find("\r\n\r\n") + 4;
  CHECK(
      nodes.Until([&] { return caller->received().size() == body + kBytes; }));
}

TEST_CASE("the load of a network link that has become free is reported") {
  CallServerOptions options = OptionsFor(0);
  options.link_kilobits = 10'000;
  TwoNodes nodes({}, options);
  const auto caller = nodes.Caller();
  const auto get = [&](std::size_t bytes) {
    const std::size_t before = caller->received().size();
    caller->Send(Get("/bytes/" + std::to_string(bytes)));
    REQUIRE(nodes.Until(
        [&] { return caller->received().size() >= before + bytes; }));
  };
  for (int i = 0; i < 120; ++i) {
    get(16'000);
  }
  get(20'000);
  // 85 % of the link's 1.25 MB/s, less a tenth.
  constexpr std::uint64_t kNearlyFree = 950'000;
  CHECK(nodes.Until([&] {
    const auto load = nodes.destination->Await<LinkLoadChanged>();
    return load.waiting_bytes == 0 && load.bytes_per_second >= kNearlyFree;
  }));
}

TEST_CASE("answers without a body leave the connection usable") {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"HEAD /bytes/9 HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200"},
      {Get("/answer-status/204"), "HTTP/1.1 204"},
      {Get("/answer-status/304"), "HTTP/1.1 304"},
  };
  for (const auto& it : cases) {
    const std::string& request = it.first;
    CAPTURE(request);
    TwoNodes nodes;
    const auto caller = nodes.Caller();
    caller->Send(request);
    CHECK(nodes.entry->Await<AnswerRelayed>().complete);
    REQUIRE(nodes.Until([&] { return caller->Has("\r\n\r\n"); }));
    CHECK(caller->received().starts_with(it.second));
    CHECK(caller->received().ends_with("\r\n\r\n"));
    caller->Clear();
    caller->Send(Get("/bytes/3"));
    CHECK(nodes.Until([&] { return caller->Has("\r\n\r\nxxx"); }));
  }
}

TEST_CASE("chunked bodies and bodies after 100 Continue arrive complete") {
  const std::vector<std::string> heads = {
      "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
      "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
      "Expect: 100-continue\r\n\r\n",
  };
  for (const std::string& it : heads) {
    CAPTURE(it);
    TwoNodes nodes;
    const auto caller = nodes.Caller();
    caller->Send(it);
    if (it.ends_with("continue\r\n\r\n")) {
      REQUIRE(nodes.Until([&] { return caller->Has("100 Continue"); }));
      caller->Send("abcde");
    }
    CHECK(nodes.entry->Await<AnswerRelayed>().complete);
    CHECK(nodes.Until([&] { return caller->Has("\r\n\r\nabcde"); }));
  }
}

TEST_CASE("delivered answers are freed before calls are refused") {
  constexpr std::size_t kCalls = 40;
  CallServerOptions options = OptionsFor(0);
  options.max_held_bytes = 200'000;
  TwoNodes nodes({}, options);
  const auto caller = nodes.Caller();
  for (std::size_t n = 1; n <= kCalls; ++n) {
    caller->Send(Get("/bytes/20000"));
    REQUIRE(nodes.entry->Await<AnswerRelayed>(n).complete);
  }
  CHECK(nodes.destination->server().counts().held_bytes <
        options.max_held_bytes);
  CHECK(nodes.destination->server().counts().rejected_requests == 0);
}

TEST_CASE("refusals state their reason and when to retry") {
  struct Case {
    NotRunReason reason;
    std::string status;
  };
  const std::vector<Case> cases = {
      {NotRunReason::kNoRoute, "404"},
      {NotRunReason::kBadRequest, "400"},
      {NotRunReason::kDeadline, "504"},
      {NotRunReason::kShareExceeded, "429"},
      {NotRunReason::kDepthExceeded, "508"},
      {NotRunReason::kQuietWindow, "503"},
      {NotRunReason::kStoreUnavailable, "503"},
  };
  boost::asio::io_context io;
  ScriptedNode node(io, OptionsFor(0));
  const auto caller = RawPeer::Connect(io, node.port());
  std::size_t n = 0;
  for (const Case& it : cases) {
    CAPTURE(it.status);
    caller->Clear();
    caller->Send(Get("/"));
    const CallId call = node.Await<CallArrived>(++n).call;
    node.Execute(AnswerNotRun{call, it.reason, Milliseconds(1'200), "why"});
    REQUIRE(RunUntil(io, [&] { return caller->Has("}\n"); }));
    CHECK(caller->received().starts_with("HTTP/1.1 " + it.status));
    CHECK(caller->Has("X-Cassiabend-Outcome: not-run"));
    CHECK(
        caller->Has("X-Cassiabend-Reason: " + std::string(NameOf(it.reason))));
    CHECK(caller->Has("Retry-After: 2\r\n"));
    CHECK(caller->Has("X-Cassiabend-Retry-After-Ms: 1200\r\n"));
  }
  caller->Clear();
  caller->Send(Get("/"));
  node.Execute(AnswerUnknown{node.Await<CallArrived>(++n).call, "why"});
  REQUIRE(RunUntil(io, [&] { return caller->Has("}\n"); }));
  CHECK(caller->received().starts_with("HTTP/1.1 502"));
  CHECK(caller->Has("X-Cassiabend-Outcome: unknown"));
}

TEST_CASE("requests in flight are answered after the server stops accepting") {
  TwoNodes nodes({.latency = Milliseconds(30)});
  const auto caller = nodes.Caller();
  const auto idle = nodes.Caller();
  caller->Send(Get("/bytes/5"));
  (void)nodes.destination->Await<AttemptArrived>();
  REQUIRE(nodes.Until(
      [&] { return nodes.entry->server().counts().open_connections == 2; }));
  nodes.entry->server().StopAccepting();
  CHECK(nodes.entry->Await<AnswerRelayed>().complete);
  CHECK(nodes.Until([&] { return caller->closed(); }));
  CHECK(caller->Has("Connection: close"));
  // A request sent on an idle connection at that moment is answered too.
  idle->Send(Get("/bytes/4"));
  CHECK(nodes.Until([&] { return idle->closed(); }));
  CHECK(idle->Has("Connection: close"));
  CHECK(idle->Has("\r\n\r\nxxxx"));
  CHECK(caller->Has("\r\n\r\nxxxxx"));
}

TEST_CASE("an answer without Connection: close keeps its connection open") {
  boost::asio::io_context io;
  ScriptedNode node(io, OptionsFor(0));
  const auto caller = RawPeer::Connect(io, node.port());
  caller->Send(Get("/"));
  node.Execute(
      AnswerNotRun{node.Await<CallArrived>().call, NotRunReason::kNoRoute});
  // The answer is being written, and its completion not yet handled.
  node.server().StopAccepting();
  REQUIRE(RunUntil(io, [&] { return caller->Has("}\n"); }));
  CHECK_FALSE(caller->Has("Connection: close"));
  caller->Clear();
  caller->Send(Get("/"));
  node.Execute(
      AnswerNotRun{node.Await<CallArrived>(2).call, NotRunReason::kDraining});
  REQUIRE(RunUntil(io, [&] { return caller->closed(); }));
  CHECK(caller->Has("Connection: close"));
}

TEST_CASE("connections in the backlog when the server stops are served") {
  constexpr int kCallers = 5;
  boost::asio::io_context io;
  ScriptedNode node(io, OptionsFor(0));
  node.script = [](const CallEvent& event) {
    std::vector<CallEffect> out;
    if (const auto* call = std::get_if<CallArrived>(&event)) {
      out.emplace_back(AnswerNotRun{call->call, NotRunReason::kDraining});
    }
    return out;
  };
  std::vector<std::shared_ptr<RawPeer>> callers(kCallers);
  for (auto& it : callers) {
    it = RawPeer::Connect(io, node.port());
    it->Send(Get("/"));
  }
  node.server().StopAccepting();
  for (const auto& it : callers) {
    CHECK(RunUntil(io, [&] { return it->closed(); }));
    CHECK(it->Has("X-Cassiabend-Reason: draining"));
  }
}

}  // namespace
}  // namespace cassiabend
