// Calls of teams whose calls are limited over all nodes.

#include <doctest/doctest.h>

#include "tests/call_support.h"

namespace cassiabend {
namespace {

using testing::CallNode;
using testing::MakeConfig;
using testing::MakeMember;
using testing::MakeMetadata;

/// Gives a node a team that may make five calls in a window, and lets one pass.
void Prepare(CallNode* node, bool is_public = false) {
  node->MakeReady({MakeMember(2)});
  Config config = MakeConfig(2);
  config.teams = {Team{.name = testing::kCallerTeam,
                       .key_digests = {KeyDigest{1, 2}},
                       .rate_per_1000s = 1'000}};
  for (Route& it : config.routes) {
    it.is_public = is_public;
  }
  node->Do(ApplyVersion{RefPtr<const Snapshot>(new Snapshot(config))});
  node->Tick(Milliseconds(6'000));
}
CallMetadata MakeKeyed() {
  CallMetadata metadata = MakeMetadata("status");
  metadata.key = KeyDigest{1, 2};
  return metadata;
}
/// \returns How many of `n` calls were sent.
int Send(CallNode* node, CallId first, int n, const CallMetadata& metadata) {
  int sent = 0;
  for (int i = 0; i < n; ++i) {
    node->Do(CallArrived{first + static_cast<CallId>(i), metadata});
    sent += node->Only<SendAttempt>() ? 1 : 0;
  }
  return sent;
}

TEST_CASE("a call beyond the team's allotment is not run, and told when") {
  CallNode node(MakeMember(1));
  Prepare(&node);
  CHECK(Send(&node, 1, 5, MakeKeyed()) == 5);
  node.Do(CallArrived{6, MakeKeyed()});
  REQUIRE(node.Only<AnswerNotRun>());
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kAllotmentExceeded);
  CHECK(node.Only<AnswerNotRun>()->retry_after > Milliseconds(0));
  CHECK(node.counts().allotments.front().admitted == 5);
}

TEST_CASE("calls without a key, and of public routes, are not counted") {
  CallNode node(MakeMember(1));
  Prepare(&node);
  // A call without a key is nobody's, so it is neither sent nor counted.
  CHECK(Send(&node, 1, 30, MakeMetadata("status")) == 0);
  CHECK(Send(&node, 31, 5, MakeKeyed()) == 5);
  CallNode open(MakeMember(1));
  Prepare(&open, true);
  CHECK(Send(&open, 1, 30, MakeKeyed()) == 30);
}

TEST_CASE("a call that reaches no upstream gives back what it took") {
  CallNode node(MakeMember(1));
  Prepare(&node);
  for (CallId id = 1; id <= 20; ++id) {
    node.Do(CallArrived{id, MakeKeyed()});
    const auto sent = node.Only<SendAttempt>();
    REQUIRE(sent);
    node.Do(AttemptNotRun{id, sent->request.id, NotRunReason::kShareExceeded,
                          Milliseconds(10)});
  }
  CHECK(Send(&node, 100, 6, MakeKeyed()) == 5);
}

}  // namespace
}  // namespace cassiabend
