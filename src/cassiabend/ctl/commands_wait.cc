#include "cassiabend/ctl/commands.h"

#include <algorithm>
#include <ostream>
#include <thread>

#include "cassiabend/ctl/convergence.h"

namespace cassiabend {
namespace {

constexpr Milliseconds kFirstPollInterval{25};
constexpr Milliseconds kMaxPollInterval{400};

}  // namespace

ExitCode Commands::Wait() {
  if (!line_.words.empty()) {
    return WaitFor(NumberArgument(0));
  }
  FleetStatus status;
  const CommitResult result = caller().Read(
      [&](AdminClient& client) { return client.GetStatus(&status); });
  return result.code == CommitCode::kOk ? WaitFor(status.mark.number)
                                        : ReportFailure(result);
}

ExitCode Commands::WaitFor(VersionNumber number) {
  FleetStatus status;
  Milliseconds interval = kFirstPollInterval;
  while (true) {
    const CommitResult result = caller().Read(
        [&](AdminClient& client) { return client.GetStatus(&status); });
    if (result.code != CommitCode::kOk) {
      return ReportFailure(result);
    }
    const Convergence now = ConvergenceOf(status, number);
    if (now.behind.empty() && now.unreachable.empty() && now.in_force > 0) {
      break;
    }
    if (caller().time_left() <= interval) {
      break;
    }
    std::this_thread::sleep_for(interval);
    interval = std::min(2 * interval, kMaxPollInterval);
  }
  return ReportWait(number, status);
}

ExitCode Commands::ReportWait(VersionNumber number, const FleetStatus& status) {
  const Convergence now = ConvergenceOf(status, number);
  ExitCode code = ExitCode::kOk;
  if (!now.behind.empty() || now.in_force == 0) {
    code = ExitCode::kWaitTimedOut;
  } else if (!now.unreachable.empty()) {
    code = ExitCode::kUnreachableNodes;
  }
  if (line_.json) {
    boost::json::object out = StatusToJson(status);
    out["waited_for"] = number;
    out["in_force_everywhere"] = code == ExitCode::kOk;
    out["change_id"] = ToHex(change_id_);
    PrintJson(out);
  } else {
    streams_.out << "version " << number << " is in force on " << now.in_force
                 << " of "
                 << now.in_force + now.behind.size() + now.unreachable.size()
                 << " nodes\n";
  }
  if (!now.behind.empty()) {
    streams_.err << "cassiabend-ctl: behind: " << FormatMembers(now.behind)
                 << "\n";
  }
  if (!now.unreachable.empty()) {
    streams_.err << "cassiabend-ctl: unreachable: "
                 << FormatMembers(now.unreachable)
                 << "; until they return they refuse noisy work after the "
                    "freshness limit\n";
  }
  return code;
}

}  // namespace cassiabend
