#include "cassiabend/http/call_headers.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "cassiabend/http/headers.h"
#include "cassiabend/http/message_rules.h"

namespace cassiabend {
namespace {

/// \returns The head of a caller's request, as the entry node passes it on.
MessageHead CallerHead() {
  MessageHead head;
  head.method = "POST";
  head.target = "/orders";
  head.Add("Host", "shop");
  head.Add("Idempotency-Key", "the caller's own");
  head.Add("X-Cassiabend-Order-Key", "forged");
  head.Add("X-Cassiabend-Key", "secret");
  head.Add("X-Site", "works");
  return head;
}

PeerRequest RunOf(const std::string& order_key) {
  PeerRequest out;
  out.attempt.id = {1, 2};
  out.attempt.order_key = order_key;
  out.attempt.team = "red";
  out.attempt.team_priority = 2;
  out.attempt.has_verified_team = true;
  return out;
}

TEST_CASE("only the entry node names the order key of an attempt") {
  for (const char* key : {"", "k-1", "0"}) {
    CAPTURE(key);
    MessageHead head = CallerHead();
    StripSystemHeaders(&head);
    WritePeerRequest(RunOf(key), &head);
    const auto read = ReadPeerRequest(head);
    REQUIRE(read);
    CHECK(read->attempt.order_key == key);
    CHECK(read->attempt.team == "red");
    CHECK(read->attempt.team_priority == 2);
    CHECK(read->attempt.has_verified_team);
    StripSystemHeaders(&head);
    CHECK(head.Get("Idempotency-Key") == "the caller's own");
  }
}

TEST_CASE("the key of a team is read as a digest only") {
  const CallMetadata call = ReadCallMetadata(CallerHead());
  CHECK(call.key == DigestOfKey("secret"));
  CHECK(call.order_key == "the caller's own");
  for (const auto& [name, value] : call.headers) {
    CHECK(value != "secret");
  }
  CHECK(call.headers.size() == 2);
  MessageHead head = CallerHead();
  StripSystemHeaders(&head);
  CHECK_FALSE(head.Has(kKeyHeader));
}

}  // namespace
}  // namespace cassiabend
