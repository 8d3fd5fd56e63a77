#include "cassiabend/rpc/mesh_codec.h"

#include <doctest/doctest.h>

namespace cassiabend {
namespace {

TEST_CASE(
    "a version report and the roll-outs with it arrive as they were sent") {
  Datagram sent;
  sent.from = {"10.0.0.1", 7000};
  RolloutNews news;
  news.rollout.order = {"huvo", "v2", Seconds(15)};
  news.rollout.order_revision = 412;
  news.rollout.step = kHaltedStep;
  news.rollout.share_permille = 65;
  news.rollout.phase = RolloutPhase::kRolledBack;
  news.order_age = Milliseconds(2'300);
  sent.rollouts.push_back(news);
  news.vouched_age = Milliseconds(100);
  sent.rollouts.push_back(news);
  VersionUse use;
  use.service = "huvo";
  use.order_revision = 412;
  use.step = 3;
  use.uses_old = true;
  VersionComparison counts;
  counts.old_version.AddSuccess(Milliseconds(200));
  counts.new_version.AddSuccess(Seconds(100));
  counts.new_version.failures = 5;
  use.classes.push_back({77, counts});
  sent.body = VersionReportBody{{use}};

  const Datagram received = DecodeDatagram(EncodeDatagram(sent));
  CHECK(received.rollouts == sent.rollouts);
  const auto* body = std::get_if<VersionReportBody>(&received.body);
  REQUIRE(body != nullptr);
  CHECK(body->uses == std::vector<VersionUse>{use});
}

}  // namespace
}  // namespace cassiabend
