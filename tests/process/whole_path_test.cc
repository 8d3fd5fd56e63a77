#include <doctest/doctest.h>

#include <boost/json/serialize.hpp>
#include <chrono>
#include <string>

#include "cassiabend/base/clock.h"
#include "tests/support/work_folder.h"
#include "tools/harness/fleet.h"

namespace cassiabend {
namespace {

using harness::Request;
using harness::Response;

constexpr std::chrono::seconds kWait{60};
constexpr std::size_t kHosts = 6;

harness::FleetOptions OptionsOf(const WorkFolder& folder) {
  return {.deployment = harness::DeploymentByName("cascadia"),
          .hosts = kHosts,
          .bin = ProgramFolder(),
          .work = folder.path()};
}

std::int64_t TotalExecutions(const harness::Fleet& fleet) {
  std::int64_t total = 0;
  for (std::size_t i = 0; i < fleet.hosts().size(); ++i) {
    total += fleet.Executions(i).at("total").to_number<std::int64_t>();
  }
  return total;
}

/// \returns A change that adds a quiet window at the example's site, from an
/// hour ago to an hour from now.
Change MakeQuietWindowChange(const ChangeId& id) {
  const WallTime now = SystemClock().Now().wall;
  QuietWindow window;
  window.name = "now";
  window.team = "cascadia";
  window.site = "workshop";
  window.schedule =
      OnceSchedule{now - std::chrono::hours(1), now + std::chrono::hours(1)};
  return {.id = id, .author = {}, .edits = {{window, {}}}};
}

TEST_CASE("calls and changes work from end to end") {
  const WorkFolder folder("whole-path");
  harness::Fleet fleet(OptionsOf(folder));
  fleet.Start();
  REQUIRE(fleet.WaitMembers(kHosts, kWait));

  const auto admin = fleet.Admin(0);
  const Change change =
      harness::ExampleChange(harness::DeploymentByName("cascadia"), {1, 1});
  const CommitResult first = admin->Commit(change, false);
  REQUIRE(first.code == CommitCode::kOk);
  CHECK(first.mark.number == 1);
  CHECK(admin->Commit(change, false).mark == first.mark);
  REQUIRE(fleet.WaitVersion(first.mark.number, kWait));
  REQUIRE(fleet.WaitReady(kWait));
  REQUIRE(fleet.WaitServing(kHosts, kWait));

  for (std::size_t i = 0; i < kHosts; ++i) {
    const Response answer = fleet.Call(i, {.target = "/status/42"});
    CHECK(answer.status == 200);
    CHECK(answer.complete);
    CHECK(answer.Header("x-cassiabend-outcome") == "answered");
  }

  const Response unknown = fleet.Call(0, {.target = "/elsewhere"});
  CHECK(unknown.status == 404);
  CHECK(unknown.Header("x-cassiabend-outcome") == "not-run");
  CHECK(unknown.Header("x-cassiabend-reason") == "no_route");

  const Request run{.method = "POST", .target = "/runs/1", .body = "{}"};
  CHECK(fleet.Call(1, run).status == 200);
  const CommitResult second =
      admin->Commit(MakeQuietWindowChange({1, 2}), false);
  REQUIRE(second.code == CommitCode::kOk);
  REQUIRE(fleet.WaitVersion(second.mark.number, kWait));
  const std::int64_t before = TotalExecutions(fleet);
  for (std::size_t i = 0; i < kHosts; ++i) {
    const Response refused = fleet.Call(i, run);
    CHECK(refused.status == 503);
    CHECK(refused.Header("x-cassiabend-outcome") == "not-run");
    CHECK(refused.Header("x-cassiabend-reason") == "quiet_window");
    CHECK(!refused.Header("retry-after").empty());
  }
  CHECK(TotalExecutions(fleet) == before);

  for (std::size_t i = 0; i < kHosts; ++i) {
    fleet.StopNode(i);
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    CHECK(fleet.node(i)->Wait(kWait) == 0);
  }
}

}  // namespace
}  // namespace cassiabend
