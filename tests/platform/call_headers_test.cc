#include "platform/call_headers.h"

#include <doctest/doctest.h>

namespace cassiabend::platform {
namespace {

MessageHead Request() {
  MessageHead head;
  head.method = "GET";
  head.target = "/p/2f?x=1";
  head.Add("Host", "Jepu9.example:80");
  head.Add("Request-Id", "9c41");
  head.Add("Deadline-Ms", "600");
  head.Add("Caller-Service", "forged");
  return head;
}

MessageHead Answer(std::uint16_t status) {
  MessageHead head;
  head.status = status;
  return head;
}

TEST_CASE("a caller's request is read") {
  const CallMetadata facts = MeshCallWire().ReadCall(Request());
  CHECK(facts.request_id == "9c41");
  CHECK(facts.host == "jepu9.example");
  CHECK(facts.path == "/p/2f");
  CHECK(facts.deadline == Milliseconds(600));
  CHECK(facts.team.empty());
  CHECK(facts.order_key.empty());
}

TEST_CASE(
    "the upstream is told the time left, the start meant, and the caller") {
  MessageHead head = Request();
  AttemptRequest attempt;
  attempt.caller_service = "orders";
  MeshCallWire().WriteUpstreamHeaders(
      attempt,
      {.attempt = {}, .deadline = Milliseconds(480), .instance = "i-7f"},
      &head);
  CHECK(head.Get("Deadline-Ms") == "480");
  CHECK(head.Get("Expected-Instance") == "i-7f");
  CHECK(head.Get("Caller-Service") == "orders");
  CHECK(head.Get("Request-Id") == "9c41");
}

TEST_CASE("answers are told apart by what their heads say") {
  const CallProtocol& wire = MeshCallWire();
  const MessageHead head = Request();
  const std::string_view request = wire.RequestIdOf(head);
  MessageHead own = Answer(200);
  own.Add("Request-Id", "9c41");
  CHECK(wire.ReadUpstreamOutcome(request, own) == UpstreamOutcome::kAnswered);
  MessageHead foreign = Answer(200);
  foreign.Add("Request-Id", "0000");
  CHECK(wire.ReadUpstreamOutcome(request, foreign) ==
        UpstreamOutcome::kMismatched);
  MessageHead full = Answer(503);
  full.Add("Not-Executed", "1");
  CHECK(wire.ReadUpstreamOutcome(request, full) == UpstreamOutcome::kRefused);
  CHECK(wire.ReadUpstreamOutcome(request, Answer(503)) ==
        UpstreamOutcome::kAnswered);
  CHECK(wire.ReadUpstreamOutcome(request, Answer(421)) ==
        UpstreamOutcome::kReplaced);
}

TEST_CASE("only what has not run is told in a status that promises so") {
  const CallProtocol& wire = MeshCallWire();
  CHECK(wire.MakeNotRunHead(NotRunReason::kNoRoute, Milliseconds(0)).status ==
        404);
  const MessageHead full =
      wire.MakeNotRunHead(NotRunReason::kOverloaded, Milliseconds(150));
  CHECK(full.status == 503);
  CHECK(full.Get("Retry-After") == "0.150");
  CHECK(wire.MakeNotRunHead(NotRunReason::kDeadline, Milliseconds(0)).status ==
        503);
  CHECK(
      wire.MakeNotRunHead(NotRunReason::kNotReady, Milliseconds(100)).status ==
      503);
  CHECK(wire.MakeUnknownHead(false).status == 502);
  CHECK(wire.MakeUnknownHead(true).status == 504);
  CHECK_FALSE(wire.adds_outcome_header());
}

TEST_CASE("a health check names the start and its slots") {
  MessageHead head = Answer(200);
  head.Add("Instance-Id", "i-7f");
  head.Add("Server-Load", "3,0,8");
  const UpstreamProbed healthy = MeshCallWire().ReadHealth(head, "");
  CHECK(healthy.healthy);
  CHECK(healthy.instance == "i-7f");
  CHECK(healthy.slots == 8);
  CHECK_FALSE(MeshCallWire().ReadHealth(Answer(503), "").healthy);
}

}  // namespace
}  // namespace cassiabend::platform
