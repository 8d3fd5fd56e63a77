#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <string>

#include "tests/support/work_folder.h"
#include "tools/harness/fleet.h"

namespace cassiabend {
namespace {

constexpr std::chrono::seconds kWait{60};
constexpr std::size_t kHosts = 3;

/// \brief A full pipe that nobody reads, with a blocking write end.
class FullPipe {
 public:
  FullPipe() {
    REQUIRE(pipe2(fds_.data(), O_CLOEXEC) == 0);
    // Pipes hold whole pages; the smallest has one. Writing a page at a time
    // fills it to the last byte.
    constexpr std::size_t kPage = 4'096;
    REQUIRE(fcntl(fds_[1], F_SETPIPE_SZ, kPage) > 0);
    REQUIRE(fcntl(fds_[1], F_SETFL, O_NONBLOCK) == 0);
    const std::string filler(kPage, '.');
    while (write(fds_[1], filler.data(), filler.size()) > 0) {
    }
    REQUIRE(write(fds_[1], filler.data(), 1) < 0);
    // A write to the pipe now blocks, unless the writer guards against that.
    REQUIRE(fcntl(fds_[1], F_SETFL, 0) == 0);
  }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;
  ~FullPipe() {
    close(fds_[0]);
    close(fds_[1]);
  }

  [[nodiscard]] int write_end() const { return fds_[1]; }

 private:
  std::array<int, 2> fds_{};
};

TEST_CASE("calls are answered while the log's pipe is full") {
  const WorkFolder folder("log-pipe");
  const FullPipe pipe;
  harness::Fleet fleet({.deployment = harness::DeploymentByName("cascadia"),
                        .hosts = kHosts,
                        .bin = ProgramFolder(),
                        .work = folder.path(),
                        .settings = {{"node", {{"log_level", "debug"}}}},
                        .node_output_fd = pipe.write_end()});
  fleet.Start();
  REQUIRE(fleet.WaitMembers(kHosts, kWait));
  const auto admin = fleet.Admin(0);
  const Change change =
      harness::ExampleChange(harness::DeploymentByName("cascadia"), {1, 1});
  REQUIRE(admin->Commit(change, false).code == CommitCode::kOk);
  REQUIRE(fleet.WaitVersion(1, kWait));
  REQUIRE(fleet.WaitServing(kHosts, kWait));
  for (int round = 0; round < 60; ++round) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      CHECK(fleet.Call(i, {.target = "/status/1"}).status == 200);
      // Each refusal logs a line.
      CHECK(fleet.Call(i, {.target = "/elsewhere"}).status == 404);
    }
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    const auto metrics = fleet.Metrics(i);
    CHECK(metrics.at(
              "cassiabend_log_lines_dropped_total{reason=\"too_frequent\"}") >
          0);
  }
}

}  // namespace
}  // namespace cassiabend
