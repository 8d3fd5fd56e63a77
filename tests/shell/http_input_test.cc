#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "cassiabend/base/random.h"
#include "tests/support/raw_peer.h"
#include "tests/support/scripted_node.h"

namespace cassiabend {
namespace {

/// Short, so that incomplete requests time out soon.
constexpr Milliseconds kShortTimeout{100};

CallServerOptions SmallOptions() {
  return {.max_connections = 8,
          .max_header_bytes = 2 * 1024,
          .max_request_body_bytes = 1024,
          .progress_timeout = kShortTimeout};
}

TEST_CASE("an invalid request is refused and its connection closed") {
  struct Case {
    std::string sent;
    std::string status;
  };
  const std::string host = "Host: h\r\n";
  const std::vector<Case> cases = {
      {"\x16\x03\x01 garbage \r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nbad header\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\n" + host + "A: " + std::string(7'000, 'a'), "431"},
      {"POST / HTTP/1.1\r\n" + host + "Content-Length: 2000\r\n\r\n", "413"},
      {"POST / HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\n" + host +
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
       "400"},
      {"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\n" + host +
           "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
       "400"},
      {"POST / HTTP/1.1\r\n" + host +
           "Transfer-Encoding: chunked\r\n\r\n800\r\n" +
           std::string(2'048, 'a') + "\r\n0\r\n\r\n",
       "413"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.sent.substr(0, 60));
    boost::asio::io_context io;
    ScriptedNode node(io, SmallOptions());
    const auto caller = RawPeer::Connect(io, node.port());
    caller->Send(it.sent);
    REQUIRE(RunUntil(io, [&] { return caller->closed(); }));
    CHECK(caller->received().starts_with("HTTP/1.1 " + it.status));
    CHECK(caller->Has("Connection: close"));
    CHECK(caller->Has("X-Cassiabend-Outcome: not-run"));
    CHECK(node.Count<CallArrived>() == 0);
    CHECK(node.server().counts().rejected_requests == 1);
  }
}

TEST_CASE("a well-formed request that cannot be routed keeps its connection") {
  const std::string bad_start_id =
      "GET / HTTP/1.1\r\nHost: h\r\nX-Cassiabend-Verb: run\r\n"
      "X-Cassiabend-Attempt: 00000000000000010000000000000001\r\n"
      "X-Cassiabend-Start-Id: x\r\n\r\n";
  const std::vector<std::string> cases = {
      "GET / HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
      "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(3'000, 'a') + "\r\n\r\n",
      "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: h\r\nX-Cassiabend-Attempt: 12\r\n\r\n",
      bad_start_id,
  };
  boost::asio::io_context io;
  ScriptedNode node(io, SmallOptions());
  const auto caller = RawPeer::Connect(io, node.port());
  for (const std::string& it : cases) {
    CAPTURE(it);
    caller->Clear();
    caller->Send(it);
    REQUIRE(RunUntil(io, [&] { return caller->Has("}\n"); }));
    const bool is_large = it.size() > node.options().max_header_bytes;
    CHECK(caller->received().starts_with(is_large ? "HTTP/1.1 431"
                                                  : "HTTP/1.1 400"));
  }
  CHECK(node.Count<CallArrived>() == 0);
  CHECK(node.Count<AttemptArrived>() == 0);
  CHECK_FALSE(caller->closed());
}

TEST_CASE("an incomplete request is dropped after the progress timeout") {
  const std::vector<std::string> cases = {
      "GET / HT",
      "GET / HTTP/1.1\r\nHost: h\r\n",
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
  };
  for (const std::string& it : cases) {
    CAPTURE(it);
    boost::asio::io_context io;
    ScriptedNode node(io, SmallOptions());
    const auto caller = RawPeer::Connect(io, node.port());
    caller->Send(it);
    CHECK(RunUntil(io, [&] { return caller->closed(); }));
    CHECK(node.Count<CallArrived>() == 0);
    CHECK(node.server().counts().held_bytes == 0);
    CHECK(node.server().counts().open_connections == 0);
  }
}

TEST_CASE("an absolute target names the host") {
  boost::asio::io_context io;
  ScriptedNode node(io, SmallOptions());
  const auto caller = RawPeer::Connect(io, node.port());
  caller->Send("GET http://Other.Example:80/a/b?q HTTP/1.1\r\nHost: h\r\n\r\n");
  const CallMetadata facts = node.Await<CallArrived>().metadata;
  CHECK(facts.host == "other.example");
  CHECK(facts.path == "/a/b");
}

TEST_CASE(
    "connections above the limit are closed, an ended one frees its place") {
  boost::asio::io_context io;
  ScriptedNode node(io, SmallOptions());
  std::vector<std::shared_ptr<RawPeer>> callers(8);
  for (auto& it : callers) {
    it = RawPeer::Connect(io, node.port());
  }
  REQUIRE(RunUntil(
      io, [&] { return node.server().counts().open_connections == 8; }));
  const auto extra = RawPeer::Connect(io, node.port());
  CHECK(RunUntil(io, [&] { return extra->closed(); }));
  callers.front()->Close();
  CHECK(RunUntil(io,
                 [&] { return node.server().counts().open_connections == 7; }));
}

TEST_CASE("requests above the limit of held bytes are refused") {
  boost::asio::io_context io;
  CallServerOptions options = SmallOptions();
  options.max_held_bytes = 1'200;
  ScriptedNode node(io, options);
  const std::string request =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" +
      std::string(1'000, 'a');
  const auto first = RawPeer::Connect(io, node.port());
  first->Send(request);
  const CallId call = node.Await<CallArrived>().call;
  const auto second = RawPeer::Connect(io, node.port());
  second->Send(request);
  REQUIRE(RunUntil(io, [&] { return second->closed(); }));
  CHECK(second->received().starts_with("HTTP/1.1 503"));
  CHECK(second->Has("X-Cassiabend-Reason: overloaded"));
  CHECK(second->Has("Retry-After: 1\r\n"));
  node.Execute(AnswerNotRun{call, NotRunReason::kNoRoute});
  CHECK(RunUntil(io, [&] { return first->Has("}\n"); }));
  CHECK(node.server().counts().held_bytes == 0);
}

TEST_CASE("the server survives damaged requests") {
  constexpr int kRounds = 300;
  const std::string whole =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
      "X-Cassiabend-Attempt: 00000000000000010000000000000001\r\n"
      "X-Cassiabend-Verb: fetch\r\nX-Cassiabend-Start-Id: 1\r\n\r\nhello";
  boost::asio::io_context io;
  ScriptedNode node(io, SmallOptions());
  Random random(11);
  for (int i = 0; i < kRounds; ++i) {
    std::string damaged = whole + whole;
    for (int n = 0; n < 3; ++n) {
      damaged[random.Below(damaged.size())] =
          static_cast<char>(random.Below(256));
    }
    damaged.resize(random.Below(damaged.size()) + 1);
    const auto caller = RawPeer::Connect(io, node.port());
    caller->Send(damaged);
    io.poll();
    caller->Close();
  }
  const auto caller = RawPeer::Connect(io, node.port());
  caller->Send("GET /whole HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(RunUntil(io, [&] {
    return node.Count<CallArrived>() != 0 &&
           node.Await<CallArrived>().metadata.path == "/whole";
  }));
}

}  // namespace
}  // namespace cassiabend
