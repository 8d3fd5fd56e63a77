#include "cassiabend/core/refused_calls.h"

#include <doctest/doctest.h>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

constexpr MonoTime kStart{Seconds(100)};

MonoTime At(int ms) {
  return kStart + Milliseconds(ms);
}

TEST_CASE("a caller that retries is recognised by its deadline") {
  RefusedCalls calls;
  calls.Record("read", At(20), At(0), At(600));
  CHECK_FALSE(calls.TakeRetried("other", At(100), At(600)));
  CHECK_FALSE(calls.TakeRetried("read", At(100), At(700)));
  CHECK(calls.TakeRetried("read", At(100), At(602)) == At(0));
  // A refused call is matched only once.
  CHECK_FALSE(calls.TakeRetried("read", At(100), At(602)));
}

TEST_CASE("a caller that arrives right after a refusal counts as a new one") {
  RefusedCalls calls;
  calls.Record("read", At(20), At(0), At(600));
  CHECK_FALSE(calls.TakeRetried("read", At(22), At(602)));
}

TEST_CASE("refused calls are kept within bounds") {
  RefusedCalls calls;
  for (int i = 0; i < 2'000; ++i) {
    calls.Record("read", At(i), At(i), At(i + 100'000));
  }
  CHECK_FALSE(calls.TakeRetried("read", At(3'000), At(100'000)));
  CHECK(calls.TakeRetried("read", At(3'000), At(101'999)));
}

CallMetadata MakeMetadataWithDeadline(int ms) {
  CallMetadata metadata = MakeMetadata("status");
  metadata.deadline = Milliseconds(ms);
  return metadata;
}

TEST_CASE("the objective counts from a caller's first request") {
  Config config = MakeConfig(2);
  for (Route& it : config.routes) {
    it.latency_objective = Milliseconds(250);
  }
  CallNode entry(MakeMember(1));
  entry.MakeReady({MakeMember(2)});
  entry.Do(ApplyVersion{RefPtr<const Snapshot>(new Snapshot(config))});
  const auto refuse = [&](CallId call) {
    const SendAttempt sent = *entry.Only<SendAttempt>();
    entry.Do(AttemptNotRun{call, sent.request.id, NotRunReason::kShareExceeded,
                           Milliseconds(0)});
    REQUIRE(entry.Only<AnswerNotRun>());
    return sent.request.objective;
  };
  entry.Do(CallArrived{1, MakeMetadataWithDeadline(600)});
  entry.Advance(Milliseconds(10));
  CHECK(refuse(1) == Milliseconds(250));
  entry.Advance(Milliseconds(90));
  entry.Do(CallArrived{2, MakeMetadataWithDeadline(500)});
  CHECK(entry.Only<SendAttempt>()->request.objective == Milliseconds(150));
  CHECK(refuse(2) == Milliseconds(150));
  // A new call at the same time has its whole objective.
  entry.Do(CallArrived{3, MakeMetadataWithDeadline(600)});
  CHECK(refuse(3) == Milliseconds(250));
  // A missed objective has 1 ms left; 0 would mean no objective.
  entry.Advance(Milliseconds(200));
  entry.Do(CallArrived{4, MakeMetadataWithDeadline(300)});
  CHECK(refuse(4) == Milliseconds(1));
}

}  // namespace
}  // namespace cassiabend::testing
