#include "tools/soak_monitor.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <stdexcept>

#include "cassiabend/base/error.h"
#include "tools/harness/http_client.h"

namespace cassiabend::soak {
namespace {

constexpr Milliseconds kPollPeriod{200};
constexpr Milliseconds kReadTimeout{400};
/// Hosts through which a commit is attempted, with the same change id.
constexpr std::size_t kCommitAttempts = 3;
/// Routes that the changes modify in turn.
constexpr std::uint64_t kRoutes = 20;
constexpr std::uint64_t kChangeIdHigh = 0x50AC;

}  // namespace

Monitor::Monitor(const harness::Fleet& fleet,
                 const RunClock& clock,
                 std::string team,
                 std::string service)
    : fleet_(fleet),
      clock_(clock),
      team_(std::move(team)),
      service_(std::move(service)),
      poll_thread_([this] { PollVersions(); }),
      commit_thread_([this] { RunCommits(); }) {}

Monitor::~Monitor() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_all();
  poll_thread_.join();
  commit_thread_.join();
}

void Monitor::QueueCommit(std::size_t host) {
  {
    const std::lock_guard lock(mutex_);
    pending_hosts_.push_back(host);
  }
  wake_.notify_all();
}

std::vector<VersionObservation> Monitor::Versions() const {
  const std::lock_guard lock(mutex_);
  return versions_;
}

std::vector<AcceptedCommit> Monitor::Commits() const {
  const std::lock_guard lock(mutex_);
  return commits_;
}

void Monitor::PollVersions() {
  std::unique_lock lock(mutex_);
  while (!wake_.wait_for(lock, kPollPeriod, [this] { return is_stopping_; })) {
    lock.unlock();
    for (std::size_t host = 0; host < fleet_.hosts().size(); ++host) {
      ReadVersion(host);
    }
    lock.lock();
  }
}

void Monitor::ReadVersion(std::size_t host) {
  const harness::HostSpec& spec = fleet_.hosts().at(host);
  VersionObservation seen{.host = host, .at = clock_.Now()};
  try {
    harness::HttpConnection connection(spec.ip, spec.metrics_port,
                                       kReadTimeout);
    const auto page =
        boost::json::parse(connection.Send({.target = "/version"}).body);
    seen.number = page.at("version").to_number<std::uint64_t>();
    seen.read = clock_.Now();
    seen.is_ready = harness::Fetch(spec.ip, spec.metrics_port,
                                   {.target = "/readyz"}, kReadTimeout)
                        .status == 200;
  } catch (const std::exception&) {
    // The node is down or paused, so there is no version to record.
    return;
  }
  const std::lock_guard lock(mutex_);
  versions_.push_back(seen);
}

void Monitor::RunCommits() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock,
               [this] { return is_stopping_ || !pending_hosts_.empty(); });
    if (is_stopping_) {
      return;
    }
    const std::size_t host = pending_hosts_.front();
    pending_hosts_.pop_front();
    lock.unlock();
    Commit(host);
    lock.lock();
  }
}

void Monitor::Commit(std::size_t host) {
  const Change change = NextChange();
  for (std::size_t n = 0; n < kCommitAttempts; ++n) {
    try {
      const CommitResult result =
          fleet_.Admin((host + n) % fleet_.hosts().size())
              ->Commit(change, false);
      if (result.code == CommitCode::kOk) {
        const std::lock_guard lock(mutex_);
        commits_.push_back({clock_.Now(), result.mark.number});
        return;
      }
    } catch (const RpcError&) {
      // The outcome is unknown. The next host recognises the change id if the
      // change was committed.
      continue;
    }
  }
}

Change Monitor::NextChange() {
  const std::uint64_t n = ++changes_;
  Route route;
  route.name = "changed-" + std::to_string(n % kRoutes);
  route.team = team_;
  route.path_prefix = "/" + route.name;
  route.service = service_;
  route.request_class = "changed";
  route.repeat = RepeatPolicy::kRepeatable;
  route.timeout = Milliseconds(1'000 + static_cast<std::int64_t>(n));
  return {.id = {kChangeIdHigh, n}, .author = {}, .edits = {{route, {}}}};
}

}  // namespace cassiabend::soak
