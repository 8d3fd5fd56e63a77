// Large request bodies that are offered before they are sent.

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "tests/support/raw_peer.h"
#include "tests/support/scripted_node.h"
#include "tools/fake_upstream_server.h"

namespace cassiabend {
namespace {

constexpr std::size_t kBody = 120'000;

/// \brief An entry node that offers each call's body, a destination and its
/// upstream, behind links of 10 Mbit/s.
struct OfferNodes {
  OfferNodes() : upstream(io, {}) {
    CallServerOptions options{.upstream_ip = "127.0.0.1", .health_path = ""};
    options.link_kilobits = 10'000;
    entry = std::make_unique<ScriptedNode>(io, options);
    options.upstream_port = upstream.port();
    destination = std::make_unique<ScriptedNode>(io, options);
    ScriptEntry(entry.get(), destination.get());
    ScriptDestination(destination.get());
    const auto relay = entry->script;
    entry->script = [this, relay](const CallEvent& event) {
      if (const auto* wanted = std::get_if<BodyWanted>(&event)) {
        return std::vector<CallEffect>{
            Attempt(wanted->call, AttemptVerb::kRun)};
      }
      if (const auto* call = std::get_if<CallArrived>(&event)) {
        body_bytes = call->metadata.body_bytes;
        return std::vector<CallEffect>{
            Attempt(call->call, AttemptVerb::kOffer)};
      }
      return relay(event);
    };
  }

  [[nodiscard]] SendAttempt Attempt(CallId call, AttemptVerb verb) const {
    SendAttempt out{.call = call,
                    .verb = verb,
                    .destination = destination->options().self,
                    .call_port = destination->port(),
                    .request = ExampleAttempt(call)};
    out.request.body_bytes = body_bytes;
    return out;
  }
  [[nodiscard]] std::shared_ptr<RawPeer> SendBody(const std::string& body) {
    auto caller = RawPeer::Connect(io, entry->port());
    caller->Send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller;
  }

  boost::asio::io_context io;
  FakeUpstream upstream;
  std::unique_ptr<ScriptedNode> entry;
  std::unique_ptr<ScriptedNode> destination;
  std::uint64_t body_bytes = 0;
};

TEST_CASE("a body is sent whole, and paced, once it is wanted") {
  OfferNodes nodes;
  std::string body;
  for (std::size_t n = 0; body.size() < kBody; ++n) {
    body += std::to_string(n) + ' ';
  }
  const auto caller = nodes.SendBody(body);
  const BodyOffered offer = nodes.destination->Await<BodyOffered>();
  CHECK(offer.request.body_bytes == body.size());
  CHECK(offer.request.route == "status");
  CHECK(offer.request.once);
  CHECK(nodes.destination->Count<AttemptArrived>() == 0);
  const auto before = std::chrono::steady_clock::now();
  nodes.destination->Execute(
      ReplyBodyWanted{offer.connection, offer.request.id});
  const AttemptArrived run = nodes.destination->Await<AttemptArrived>();
  CHECK(run.request.id == offer.request.id);
  CHECK(run.request.body_bytes == body.size());
  // Of 120 KB, 16 KB go at once, a bucket of 42 KB follows, and the rest takes
  // 58 ms at 85 % of the link.
  CHECK(std::chrono::steady_clock::now() - before >= Milliseconds(40));
  CHECK(nodes.entry->Await<AnswerRelayed>().complete);
  REQUIRE(RunUntil(nodes.io, [&] {
    return caller->received().size() > body.size() &&
           caller->received().ends_with(body);
  }));
  CHECK(nodes.entry->server().counts().link_waiting_bytes == 0);
}

TEST_CASE("a refused offer moves no body, and its connection serves others") {
  OfferNodes nodes;
  const auto caller = nodes.SendBody(std::string(kBody, 'x'));
  const BodyOffered offer = nodes.destination->Await<BodyOffered>();
  nodes.destination->Execute(ReplyNotRun{offer.connection, offer.request.id,
                                         NotRunReason::kOverloaded,
                                         Milliseconds(250)});
  const AttemptNotRun refused = nodes.entry->Await<AttemptNotRun>();
  CHECK(refused.reason == NotRunReason::kOverloaded);
  CHECK(refused.retry_after == Milliseconds(250));
  CHECK(RunUntil(nodes.io, [&] { return caller->Has("HTTP/1.1 503"); }));
  CHECK(nodes.destination->Count<AttemptArrived>() == 0);
  CHECK(nodes.destination->server().counts().held_bytes < kBody);
  (void)nodes.SendBody(std::string(kBody, 'y'));
  (void)nodes.destination->Await<BodyOffered>(2);
  CHECK(nodes.destination->server().counts().connections == 1);
}

TEST_CASE("an offer ends when its caller leaves") {
  OfferNodes nodes;
  {
    const auto caller = nodes.SendBody(std::string(kBody, 'x'));
    (void)nodes.destination->Await<BodyOffered>();
    caller->Close();
  }
  (void)nodes.entry->Await<CallerDisconnected>();
  CHECK(nodes.destination->Await<ConnectionLost>().connection != 0);
}

}  // namespace
}  // namespace cassiabend
