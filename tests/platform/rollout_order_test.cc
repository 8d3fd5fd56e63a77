#include "platform/rollout_order.h"

#include <doctest/doctest.h>

#include "cassiabend/base/error.h"

namespace cassiabend::platform {
namespace {

TEST_CASE("an order is decoded") {
  const RolloutOrder order = OperatorRolloutCodec().DecodeOrder(
      R"({"service":"huvo","target_version":"v2","duration":"12s"})");
  CHECK(order == RolloutOrder{"huvo", "v2", Seconds(12)});
}

TEST_CASE("an order that cannot be read is refused") {
  for (const char* it :
       {"", "[]", "{}",
        R"({"service":"","target_version":"v2","duration":"1s"})",
        R"({"service":"a","target_version":2,"duration":"1s"})",
        R"({"service":"a","target_version":"v2"})",
        R"({"service":"a","target_version":"v2","duration":"0s"})",
        R"({"service":"a","target_version":"v2","duration":"90000s"})"}) {
    CAPTURE(it);
    CHECK_THROWS_AS((void)OperatorRolloutCodec().DecodeOrder(it), ModelError);
  }
}

TEST_CASE("a state is decoded as it was encoded") {
  const RolloutCodec& codec = OperatorRolloutCodec();
  CHECK(codec.StatusKey("huvo") == "status/rollout/huvo");
  Rollout rollout;
  rollout.order = {"huvo", "v2", {}};
  rollout.order_revision = 412;
  for (const RolloutPhase phase :
       {RolloutPhase::kRunning, RolloutPhase::kCompleted,
        RolloutPhase::kRolledBack}) {
    rollout.phase = phase;
    rollout.step = phase == RolloutPhase::kRolledBack ? kHaltedStep : 3;
    rollout.share_permille = phase == RolloutPhase::kRolledBack ? 0 : 250;
    const std::string value = codec.EncodeStatus(rollout);
    CHECK(codec.DecodeStatus(value) == rollout);
    CHECK(value.find("\"state\":\"" + std::string(NameOf(phase)) + "\"") !=
          std::string::npos);
  }
  CHECK_THROWS_AS((void)codec.DecodeStatus(R"({"state":"odd"})"), ModelError);
}

}  // namespace
}  // namespace cassiabend::platform
