// Bytes that an upstream or another node sends without being asked: copies of
// earlier answers, refusals and health answers, and heads that are cut.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "cassiabend/store/store_client.h"
#include "platform/kv_codec.h"
#include "platform/mesh_call_protocol.h"
#include "tests/support/raw_peer.h"
#include "tests/support/scripted_node.h"
#include "tests/support/store_fixture.h"

namespace cassiabend::platform {
namespace {

CallServerOptions MeshOptions(std::uint16_t upstream_port) {
  return {.call_protocol = &MeshCallProtocol(),
          .upstream_ip = "127.0.0.1",
          .upstream_port = upstream_port,
          .progress_timeout = Milliseconds(300),
          .health_path = ""};
}

std::string Get(const std::string& id) {
  return "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n\r\n";
}

std::string Message(const std::string& status,
                    const std::string& headers,
                    const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Answer(const std::string& id) {
  return Message(
      "200 OK",
      "Request-Id: " + id + "\r\nResponse-Signature: s-" + id + "\r\n",
      "body of " + id);
}

std::string Refusal(const std::string& id) {
  return Message("503 Service Unavailable",
                 "Request-Id: " + id + "\r\nNot-Executed: 1\r\n", "");
}

std::string HealthAnswer() {
  return Message("200 OK", "Instance-Id: i-1\r\nServer-Load: 0,0,8\r\n", "");
}

/// Time in which bytes that were sent arrive.
constexpr Milliseconds kSettleTime{20};

void RunFor(boost::asio::io_context& io, Milliseconds time) {
  io.restart();
  io.run_for(time);
}

/// \brief A node that is entry and destination, and its raw upstream.
struct NodeWithRawUpstream {
  NodeWithRawUpstream() : upstream(io), node(io, MeshOptions(upstream.port())) {
    ScriptBoth(&node, Milliseconds(1'000));
    caller = RawPeer::Connect(io, node.port());
  }

  bool Until(const std::function<bool()>& holds) { return RunUntil(io, holds); }
  void Settle() { RunFor(io, kSettleTime); }
  /// \brief Sends a caller's request.
  /// \returns The upstream's connection on which it arrives.
  std::shared_ptr<RawPeer> Send(const std::string& id) {
    caller->Clear();
    caller->Send(Get(id));
    std::shared_ptr<RawPeer> found;
    REQUIRE(Until([&] {
      for (const auto& it : upstream.peers()) {
        if (it->Has("Request-Id: " + id)) {
          found = it;
        }
      }
      return found != nullptr;
    }));
    found->Clear();
    return found;
  }
  /// \brief Has a first request answered as it should be.
  /// \returns The connection that carried it.
  std::shared_ptr<RawPeer> ServeFirst() {
    std::shared_ptr<RawPeer> connection = Send("first");
    connection->Send(Answer("first"));
    REQUIRE(Result().ends_with("body of first"));
    return connection;
  }
  /// \returns What the caller gets.
  std::string Result() {
    REQUIRE(Until([&] { return caller->Has("\r\n\r\n") || caller->closed(); }));
    Settle();
    return caller->received();
  }

  boost::asio::io_context io;
  RawServer upstream;
  ScriptedNode node;
  std::shared_ptr<RawPeer> caller;
};

TEST_CASE("what an upstream sends unasked never answers the next request") {
  const std::string unasked[] = {
      Answer("first"),
      Refusal("first"),
      HealthAnswer(),
      Message("200 OK", "", "extra bytes"),
      Message("200 OK", "Response-Signature: s-first\r\n", "body of first"),
      Message("503 Service Unavailable", "Not-Executed: 1\r\n", ""),
      Message("421 Misdirected Request", "Instance-Id: i-2\r\n", ""),
      Message("500 Internal Server Error", "", "x"),
  };
  for (const std::string& it : unasked) {
    CAPTURE(it);
    NodeWithRawUpstream t;
    const auto connection = t.ServeFirst();
    REQUIRE(t.Send("second") == connection);
    connection->Send(it);
    t.Settle();
    connection->Send(Answer("second"));
    const std::string result = t.Result();
    CAPTURE(result);
    const bool is_own = result.starts_with("HTTP/1.1 200") &&
                        result.ends_with("body of second");
    CHECK((is_own || result.starts_with("HTTP/1.1 502")));
    CHECK(t.node.Count<UpstreamShed>() == 0);
    CHECK(t.node.Count<UpstreamReplaced>() == 0);
  }
}

TEST_CASE("a message without a valid status is no answer") {
  const std::string statuses[] = {"000 OK",  "099 OK", "600 OK", "999 OK",
                                  "2000 OK", "20 OK",  "OK",     "-20 OK",
                                  "000",     "0x0 OK", "",       "1e2 OK"};
  for (const std::string& it : statuses) {
    for (const bool reused : {false, true}) {
      CAPTURE(it);
      CAPTURE(reused);
      NodeWithRawUpstream t;
      if (reused) {
        (void)t.ServeFirst();
      }
      const auto connection = t.Send("own");
      connection->Send(Message(
          it, "Request-Id: own\r\nResponse-Signature: s-own\r\n", "bad"));
      const bool closed = t.Until(
          [&] { return connection->closed() || t.caller->Has("\r\n\r\n"); });
      REQUIRE(closed);
      // Nothing that follows on its connection is the answer.
      connection->Send(Answer("own"));
      const std::string result = t.Result();
      CHECK(result.starts_with("HTTP/1.1 502"));
      CHECK(result.find("Response-Signature") == std::string::npos);
      CHECK(result.find("body of own") == std::string::npos);
    }
  }
}

TEST_CASE("a message without a valid status leaves a write to the store open") {
  for (const std::string status : {"000 OK", "099 OK", "100 Go", "600 OK"}) {
    CAPTURE(status);
    boost::asio::io_context io;
    RawServer server(io);
    testing::StoreReplySink sink;
    StoreClientOptions options;
    options.endpoints = {{"127.0.0.1", server.port()}};
    options.codec = &KvCodec();
    StoreClient client(io, options, &sink);
    client.Execute({{StoreClientRole::kFleet, 1}, StorePut{"k", "v"}});
    REQUIRE(RunUntil(io, [&] { return server.peers().size() == 1; }));
    server.peers()[0]->Send(Message(status, "", R"({"rev":7,"at":7})"));
    REQUIRE(RunUntil(io, [&] { return sink.replies.size() == 1; }));
    CHECK(sink.replies[0].reply.status == StoreStatus::kUnknown);
  }
}

TEST_CASE("unasked bytes that arrive early close the connection") {
  const std::string unasked[] = {Answer("first"), Refusal("first"),
                                 HealthAnswer(), "HTTP/1.1 200 OK\r\nReq"};
  for (const std::string& it : unasked) {
    CAPTURE(it);
    NodeWithRawUpstream t;
    const auto connection = t.ServeFirst();
    connection->Send(it);
    t.Settle();
    const auto next = t.Send("second");
    CHECK(next != connection);
    next->Send(Answer("second"));
    CHECK(t.Result().ends_with("body of second"));
  }
}

TEST_CASE("a refused request is not sent over the same connection again") {
  NodeWithRawUpstream t;
  const auto connection = t.Send("first");
  connection->Send(Refusal("first"));
  REQUIRE(t.Result().starts_with("HTTP/1.1 503"));
  // The next attempt of the same call bears the same id.
  const auto second = t.Send("first");
  CHECK(second != connection);
  connection->Send(Refusal("first"));
  second->Send(Answer("first"));
  CHECK(t.Result().ends_with("body of first"));
  CHECK(t.node.Count<UpstreamShed>() == 1);
}

TEST_CASE("a success that the upstream has not signed is not passed on") {
  NodeWithRawUpstream t;
  t.Send("first")->Send(
      Message("200 OK", "Request-Id: first\r\n", "body of first"));
  CHECK(t.Result().starts_with("HTTP/1.1 502"));
}

TEST_CASE("a second health answer answers no request") {
  NodeWithRawUpstream t;
  t.node.Execute(ProbeUpstream{"/health"});
  REQUIRE(t.Until([&] {
    return !t.upstream.peers().empty() &&
           t.upstream.peers()[0]->Has("GET /health");
  }));
  const auto probed = t.upstream.peers()[0];
  probed->Send(HealthAnswer());
  CHECK(t.node.Await<UpstreamProbed>().instance == "i-1");
  const auto connection = t.Send("first");
  probed->Send(HealthAnswer());
  t.Settle();
  connection->Send(Answer("first"));
  CHECK(t.Result().ends_with("body of first"));
}

TEST_CASE("an answer whose head is cut is no answer, wherever it is cut") {
  const std::string whole = Answer("first");
  const std::size_t head_bytes = whole.find("\r\n\r\n") + 4;
  for (std::size_t n = 1; n < head_bytes; ++n) {
    CAPTURE(n);
    NodeWithRawUpstream t;
    const auto connection = t.Send("first");
    connection->Send(whole.substr(0, n));
    connection->Close();
    CHECK(t.Result().starts_with("HTTP/1.1 502"));
  }
}

/// \brief An entry node whose destination is a raw TCP server.
struct EntryWithRawDestination {
  EntryWithRawDestination() : destination(io), entry(io, MeshOptions(0)) {}

  bool Until(const std::function<bool()>& holds) { return RunUntil(io, holds); }
  /// \brief Sends attempt `n` for a new call.
  /// \returns The connection on which it arrives.
  std::shared_ptr<RawPeer> Send(std::uint64_t n) {
    const auto peer = RawPeer::Connect(io, entry.port());
    peer->Send(Get("r" + std::to_string(n)));
    callers.push_back(peer);
    const CallId call = entry.Await<CallArrived>(n).call;
    entry.Execute(SendAttempt{.call = call,
                              .destination = {"127.0.0.1", 60'000},
                              .call_port = destination.port(),
                              .request = ExampleAttempt(n)});
    std::shared_ptr<RawPeer> found;
    REQUIRE(Until([&] {
      for (const auto& it : destination.peers()) {
        if (it->Has(ToHex(ExampleAttempt(n).id))) {
          found = it;
        }
      }
      return found != nullptr;
    }));
    return found;
  }
  static std::string Reply(const std::string& outcome, std::uint64_t attempt) {
    return Message(
        "200 OK",
        "X-Cassiabend-Outcome: " + outcome + "\r\n" +
            (attempt == 0 ? std::string()
                          : "X-Cassiabend-Attempt: " +
                                ToHex(ExampleAttempt(attempt).id) + "\r\n"),
        "");
  }

  boost::asio::io_context io;
  RawServer destination;
  ScriptedNode entry;
  std::vector<std::shared_ptr<RawPeer>> callers;
};

TEST_CASE("what a node sends unasked never answers the next attempt") {
  for (const char* outcome : {"answered", "not-run", "unknown"}) {
    for (const std::uint64_t attempt : {0, 1}) {
      CAPTURE(outcome);
      CAPTURE(attempt);
      EntryWithRawDestination t;
      const auto connection = t.Send(1);
      connection->Send(EntryWithRawDestination::Reply("not-run", 1));
      (void)t.entry.Await<AttemptNotRun>();
      REQUIRE(t.Send(2) == connection);
      connection->Send(EntryWithRawDestination::Reply(outcome, attempt));
      RunFor(t.io, kSettleTime);
      connection->Send(EntryWithRawDestination::Reply("answered", 2));
      REQUIRE(t.Until([&] {
        return t.entry.Count<AttemptAnswerStarted>() +
                   t.entry.Count<AttemptConnectionLost>() !=
               0;
      }));
      // Either its own answer, or none.
      CHECK(t.entry.Count<AttemptNotRun>() == 1);
      CHECK(t.entry.Count<AttemptUnknown>() == 0);
      const bool is_own = attempt == 1;
      CHECK(t.entry.Count<AttemptAnswerStarted>() == (is_own ? 1 : 0));
    }
  }
}

TEST_CASE("a reply of another node whose head is cut is none") {
  const std::string whole = EntryWithRawDestination::Reply("answered", 1);
  const std::size_t head_bytes = whole.find("\r\n\r\n") + 4;
  for (std::size_t n = 1; n < head_bytes; ++n) {
    CAPTURE(n);
    EntryWithRawDestination t;
    const auto connection = t.Send(1);
    connection->Send(whole.substr(0, n));
    connection->Close();
    CHECK(t.entry.Await<AttemptConnectionLost>().loss ==
          ConnectionLoss::kBroken);
    CHECK(t.entry.Count<AttemptAnswerStarted>() == 0);
  }
}

}  // namespace
}  // namespace cassiabend::platform
