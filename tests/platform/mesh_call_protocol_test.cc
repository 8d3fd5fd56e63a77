#include "platform/mesh_call_protocol.h"

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

TEST_CASE("a caller's headers are parsed") {
  const CallMetadata metadata = MeshCallProtocol().ReadCall(Request());
  CHECK(metadata.request_id == "9c41");
  CHECK(metadata.host == "jepu9.example");
  CHECK(metadata.path == "/p/2f");
  CHECK(metadata.deadline == Milliseconds(600));
  CHECK(metadata.team.empty());
  CHECK(metadata.order_key.empty());
}

TEST_CASE(
    "a request to the upstream carries the time left, the start and the "
    "caller") {
  MessageHead head = Request();
  AttemptRequest attempt;
  attempt.caller_service = "orders";
  MeshCallProtocol().WriteUpstreamHeaders(
      attempt,
      {.attempt = {}, .deadline = Milliseconds(480), .instance = "i-7f"},
      &head);
  CHECK(head.Get("Deadline-Ms") == "480");
  CHECK(head.Get("Expected-Instance") == "i-7f");
  CHECK(head.Get("Caller-Service") == "orders");
  CHECK(head.Get("Request-Id") == "9c41");
}

TEST_CASE("the key is read as a digest and removed") {
  const CallProtocol& protocol = MeshCallProtocol();
  MessageHead head = Request();
  CHECK_FALSE(protocol.ReadCall(head).key);
  head.Add("api-KEY", "secret");
  CHECK(protocol.ReadCall(head).key == DigestOfKey("secret"));
  head.Add("Api-Key", "secret");
  CHECK(protocol.ReadCall(head).key == DigestOfKey(""));
  protocol.RemoveKey(&head);
  CHECK_FALSE(head.Has("Api-Key"));
  CHECK(head.Get("Request-Id") == "9c41");
}

TEST_CASE(
    "the upstream is told the team of the key instead of the stated one") {
  const auto tenants = [](const AttemptRequest& attempt) {
    MessageHead head = Request();
    head.Add("Tenant-Id", "forged");
    head.Add("tenant-id", "again");
    MeshCallProtocol().WriteUpstreamHeaders(
        attempt, {.attempt = {}, .deadline = Milliseconds(480)}, &head);
    std::string out;
    for (const HeaderField& it : head.fields) {
      out += it.name == "Tenant-Id" || it.name == "tenant-id" ? it.value + " "
                                                              : "";
    }
    return out;
  };
  AttemptRequest attempt;
  CHECK(tenants(attempt) == "forged again ");
  attempt.has_verified_team = true;
  CHECK(tenants(attempt).empty());
  attempt.team = "red";
  CHECK(tenants(attempt) == "red ");
}

TEST_CASE("the outcome of an upstream follows from the head of its answer") {
  const CallProtocol& protocol = MeshCallProtocol();
  const MessageHead head = Request();
  const std::string_view request = protocol.RequestIdOf(head);
  MessageHead matching = Answer(200);
  matching.Add("Request-Id", "9c41");
  CHECK(protocol.ReadUpstreamOutcome(request, matching) ==
        UpstreamOutcome::kAnswered);
  MessageHead mismatched = Answer(200);
  mismatched.Add("Request-Id", "0000");
  CHECK(protocol.ReadUpstreamOutcome(request, mismatched) ==
        UpstreamOutcome::kMismatched);
  MessageHead refused = Answer(503);
  refused.Add("Not-Executed", "1");
  CHECK(protocol.ReadUpstreamOutcome(request, refused) ==
        UpstreamOutcome::kRefused);
  CHECK(protocol.ReadUpstreamOutcome(request, Answer(503)) ==
        UpstreamOutcome::kAnswered);
  CHECK(protocol.ReadUpstreamOutcome(request, Answer(421)) ==
        UpstreamOutcome::kReplaced);
}

TEST_CASE("the status tells whether a call may have been run") {
  const CallProtocol& protocol = MeshCallProtocol();
  CHECK(
      protocol.MakeNotRunHead(NotRunReason::kNoRoute, Milliseconds(0)).status ==
      404);
  CHECK(protocol.MakeNotRunHead(NotRunReason::kUnknownKey, Milliseconds(0))
            .status == 401);
  CHECK(
      protocol.MakeNotRunHead(NotRunReason::kAllotmentExceeded, Milliseconds(9))
          .status == 429);
  const MessageHead overloaded =
      protocol.MakeNotRunHead(NotRunReason::kOverloaded, Milliseconds(150));
  CHECK(overloaded.status == 503);
  CHECK(overloaded.Get("Retry-After") == "0.150");
  CHECK(protocol.MakeNotRunHead(NotRunReason::kDeadline, Milliseconds(0))
            .status == 503);
  CHECK(protocol.MakeNotRunHead(NotRunReason::kNotReady, Milliseconds(100))
            .status == 503);
  CHECK(protocol.MakeUnknownHead(false).status == 502);
  CHECK(protocol.MakeUnknownHead(true).status == 504);
  CHECK_FALSE(protocol.adds_outcome_header());
}

TEST_CASE("a health check gives the start and the slots of the upstream") {
  MessageHead head = Answer(200);
  head.Add("Instance-Id", "i-7f");
  head.Add("Server-Load", "3,0,8");
  const UpstreamProbed healthy = MeshCallProtocol().ReadHealth(head, "");
  CHECK(healthy.healthy);
  CHECK(healthy.instance == "i-7f");
  CHECK(healthy.load.slots == 8);
  CHECK_FALSE(MeshCallProtocol().ReadHealth(Answer(503), "").healthy);
}

TEST_CASE("an answer states the load of its upstream whole, or none") {
  const auto read = [](const char* text) {
    MessageHead head = Answer(200);
    head.Add("Server-Load", text);
    return MeshCallProtocol().ReadLoad(head);
  };
  CHECK(read("3,1,8") == UpstreamLoad{3, 1, 8, 0});
  CHECK(read("3,1,8,140") == UpstreamLoad{3, 1, 8, 140});
  for (const char* it :
       {"", "3", "3,1", "3,1,8,", "3,1,8,140,2", "3,-1,8", "3,1,8,x", ",,,",
        "3,1,99999999999", "3;1;8;100", "3,1,8,1.4"}) {
    CAPTURE(it);
    CHECK_FALSE(read(it));
  }
  CHECK_FALSE(MeshCallProtocol().ReadLoad(Answer(200)));
}

TEST_CASE("a health check with the speed of work names the slots alone") {
  MessageHead head = Answer(200);
  head.Add("Server-Load", "3,0,6,100");
  const UpstreamProbed probed = MeshCallProtocol().ReadHealth(head, "");
  CHECK(probed.load == UpstreamLoad{3, 0, 6, 100});
}

}  // namespace
}  // namespace cassiabend::platform
