// Requests and answers whose heads are as long as the operator's limits allow.

#include <doctest/doctest.h>

#include <stdexcept>
#include <string>

#include "tests/support/raw_peer.h"
#include "tests/support/scripted_node.h"

namespace cassiabend {
namespace {

constexpr std::uint32_t kRaisedHeaderBytes = 128 * 1024;
/// Longer than what a 16-bit length can state.
constexpr std::size_t kLongBytes = 70'000;

std::uint16_t FreePort() {
  boost::asio::io_context io;
  const RawPeer::Tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

CallServerOptions Options(std::uint16_t upstream_port) {
  return {.caller_port = FreePort(),
          .upstream_ip = "127.0.0.1",
          .upstream_port = upstream_port,
          .prepared_connections = 0,
          .health_path = ""};
}

/// \brief An entry node, and a destination node with a raw upstream.
struct TwoNodes {
  TwoNodes()
      : upstream(io),
        destination(io, Options(upstream.port())),
        entry(io, Options(0)) {
    ScriptEntry(&entry, &destination);
    ScriptDestination(&destination);
    caller = RawPeer::Connect(io, entry.options().caller_port);
  }

  void RaiseLimits() {
    for (ScriptedNode* it : {&entry, &destination}) {
      it->server().SetLimits({.max_header_bytes = kRaisedHeaderBytes});
    }
  }
  bool Until(const std::function<bool()>& holds) { return RunUntil(io, holds); }
  /// \returns Whether the upstream gets `text` in a request.
  bool UpstreamGets(const std::string& text) {
    return Until([&] {
      return !upstream.peers().empty() &&
             upstream.peers().back()->Has("\r\n\r\n") &&
             upstream.peers().back()->Has(text);
    });
  }
  void Answer(const std::string& header) {
    upstream.peers().back()->Send("HTTP/1.1 200 OK\r\n" + header +
                                  "Content-Length: 2\r\n\r\nok");
  }

  boost::asio::io_context io;
  RawServer upstream;
  ScriptedNode destination;
  ScriptedNode entry;
  std::shared_ptr<RawPeer> caller;
};

std::string Get(const std::string& target, const std::string& header = {}) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + header + "\r\n";
}

TEST_CASE("a long head within the limits passes two nodes, both ways") {
  const std::string text(kLongBytes, 'c');
  const std::string value = "Cookie: " + text + "\r\n";
  const std::string name = "X" + text + ": v\r\n";
  const std::string target = "/" + text;
  struct Case {
    std::string request;
    std::string expected;
    std::string answer;
  };
  const Case cases[] = {
      {Get("/x", value), value, "Set-" + value},
      {Get("/x", name), name, name},
      {Get(target), "GET " + target + " HTTP/1.1\r\n", "Location: /\r\n"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.request.substr(0, 40));
    TwoNodes t;
    t.RaiseLimits();
    t.caller->Send(it.request);
    REQUIRE(t.UpstreamGets(it.expected));
    t.Answer(it.answer);
    REQUIRE(t.Until([&] { return t.caller->Has("\r\n\r\nok"); }));
    CHECK(t.caller->received().starts_with("HTTP/1.1 200"));
    CHECK(t.caller->Has(it.answer));
  }
}

TEST_CASE("a raised limit holds on the connections that are open") {
  const std::string value = "Cookie: " + std::string(kLongBytes, 'c') + "\r\n";
  TwoNodes t;
  t.caller->Send(Get("/first"));
  REQUIRE(t.UpstreamGets("/first"));
  t.Answer({});
  REQUIRE(t.Until([&] { return t.caller->Has("\r\n\r\nok"); }));
  t.RaiseLimits();
  t.caller->Clear();
  t.caller->Send(Get("/second", value));
  REQUIRE(t.UpstreamGets(value));
  t.Answer("Set-" + value);
  REQUIRE(t.Until([&] { return t.caller->Has("\r\n\r\nok"); }));
  CHECK(t.caller->Has(value));
}

TEST_CASE("a node takes from others what its own limit does not allow yet") {
  const std::string value = "Cookie: " + std::string(kLongBytes, 'c') + "\r\n";
  TwoNodes t;
  t.entry.server().SetLimits({.max_header_bytes = kRaisedHeaderBytes});
  t.caller->Send(Get("/x", value));
  REQUIRE(t.UpstreamGets(value));
  t.Answer({});
  CHECK(t.Until([&] { return t.caller->Has("\r\n\r\nok"); }));
}

TEST_CASE("a head above the operator's limit is refused") {
  TwoNodes t;
  t.RaiseLimits();
  t.caller->Send(
      Get("/x", "Cookie: " + std::string(kRaisedHeaderBytes, 'c') + "\r\n"));
  REQUIRE(t.Until([&] { return t.caller->Has("\r\n\r\n"); }));
  CHECK(t.caller->received().starts_with("HTTP/1.1 431"));
  CHECK(t.upstream.peers().empty());
}

/// \brief Fails to handle calls to "/fail".
class FailingSink final : public EventSink {
 public:
  void Post(Body body) override {
    const auto* call = std::get_if<CallArrived>(&std::get<CallEvent>(body));
    if (call == nullptr) {
      return;
    }
    if (call->metadata.path == "/fail") {
      throw std::length_error("scripted");
    }
    calls.push_back(call->call);
  }

  std::vector<CallId> calls;
};

TEST_CASE("an exception in a handler ends the connection that it serves") {
  boost::asio::io_context io;
  const SystemClock clock;
  FailingSink sink;
  CallServerOptions options = Options(0);
  options.self = {"127.0.0.1", 1};
  CallServer server(io, clock, options, &sink);
  const auto other = RawPeer::Connect(io, options.caller_port);
  other->Send(Get("/other"));
  REQUIRE(RunUntil(io, [&] { return sink.calls.size() == 1; }));
  for (int i = 0; i < 3; ++i) {
    const auto failing = RawPeer::Connect(io, options.caller_port);
    failing->Send(Get("/fail"));
    CHECK(RunUntil(io, [&] { return failing->closed(); }));
  }
  server.Execute(AnswerNotRun{sink.calls.front(), NotRunReason::kNoRoute});
  CHECK(RunUntil(io, [&] { return other->Has("HTTP/1.1 404"); }));
  const auto next = RawPeer::Connect(io, options.caller_port);
  next->Send(Get("/next"));
  CHECK(RunUntil(io, [&] { return sink.calls.size() == 2; }));
  CHECK(server.counts().open_connections == 2);
}

}  // namespace
}  // namespace cassiabend
