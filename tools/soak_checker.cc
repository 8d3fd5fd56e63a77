#include "tools/soak_checker.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace cassiabend::soak {
namespace {

using Violations = std::vector<Violation>;

/// \returns Whether only planned work happened from `from` to `to`. A stall of
/// the proxies counts as a fault, as it delays every proxied connection.
bool IsPlanned(const History& history, RunTime from, RunTime to) {
  const auto contains = [from, to](const TimeSpan& it) {
    return it.Contains(from, to);
  };
  const auto overlaps = [from, to](const TimeSpan& it) {
    return it.Overlaps(from, to);
  };
  return std::ranges::any_of(history.planned, contains) &&
         std::ranges::none_of(history.stalls, overlaps);
}

bool HadOutage(const History& history, std::size_t host, TimeSpan span) {
  return std::ranges::any_of(
      history.node_outages, [host, span](const NodeOutage& it) {
        return it.host == host && it.span.Overlaps(span.begin, span.end);
      });
}

std::uint64_t ExecutionsOf(const std::map<std::string, std::uint64_t>& runs,
                           const std::string& name) {
  const auto found = runs.find(name);
  return found == runs.end() ? 0 : found->second;
}

/// \returns The node process that ran on a host at `at`; null for none.
const NodeProcess* ProcessAt(const History& history,
                             std::size_t host,
                             RunTime at) {
  for (const NodeProcess& it : history.node_processes) {
    if (it.host == host && it.started <= at && (!it.ended || at <= *it.ended)) {
      return &it;
    }
  }
  return nullptr;
}

std::string Describe(const CallRecord& call) {
  std::string text = NameOf(call.kind);
  text += " sent at " + std::to_string(call.sent.count()) + " ms: ";
  text += NameOf(call.outcome);
  text += ", status " + std::to_string(call.status);
  return call.detail.empty() ? text : text + ", " + call.detail;
}

Violation MakeViolation(const char* promise, const CallRecord& call) {
  return {promise, call.ended, call.entry,
          call.order_key.empty() ? call.id : call.order_key, Describe(call)};
}

void CheckExpectedBodies(const History& history, Violations* out) {
  for (const CallRecord& it : history.calls) {
    if (it.outcome == CallOutcome::kAnswered && !it.has_expected_body) {
      out->push_back(MakeViolation("own answer", it));
    }
  }
}

void CheckNotRun(const History& history, Violations* out) {
  for (const CallRecord& it : history.calls) {
    if (it.outcome == CallOutcome::kNotRun &&
        ExecutionsOf(history.runs_by_id, it.id) > 0) {
      out->push_back(MakeViolation("not run is true", it));
    }
  }
}

void CheckAtMostOnce(const History& history, Violations* out) {
  for (const CallRecord& it : history.calls) {
    const bool ran_twice = it.kind == CallKind::kOrder &&
                           ExecutionsOf(history.runs_by_id, it.id) > 1;
    const bool key_ran_twice =
        it.kind == CallKind::kKeyedOrder &&
        ExecutionsOf(history.runs_by_key, it.order_key) > 1;
    if (ran_twice || key_ran_twice) {
      out->push_back(MakeViolation("at most once", it));
    }
  }
}

/// \returns Whether a node must have read a request whose connection closed
/// without an answer.
bool WasRead(const History& history, const CallRecord& call) {
  if (ExecutionsOf(history.runs_by_id, call.id) > 0) {
    return true;
  }
  // The process that accepted the connection may have exited before the
  // request was sent.
  const NodeProcess* process = ProcessAt(history, call.entry, call.opened);
  return process != nullptr &&
         (!process->ended || call.sent + kReadSlack < *process->ended);
}

void CheckPlannedWork(const History& history, Violations* out) {
  for (const CallRecord& it : history.calls) {
    if (!IsPlanned(history, it.sent, it.ended)) {
      continue;
    }
    if (it.outcome == CallOutcome::kCut) {
      out->push_back(MakeViolation("no answer is cut by planned work", it));
    }
    // The outcome of a keyed order is unknown when the node that ran it earlier
    // can no longer be asked.
    if (it.outcome == CallOutcome::kUnknown &&
        it.kind != CallKind::kKeyedOrder) {
      out->push_back(
          MakeViolation("no outcome is unknown by planned work", it));
    }
    const bool has_no_answer = it.outcome == CallOutcome::kClosed ||
                               it.outcome == CallOutcome::kSilent;
    if (has_no_answer && WasRead(history, it)) {
      out->push_back(
          MakeViolation("an answer to each request that was read", it));
    }
  }
}

void CheckDeadlines(const History& history, Violations* out) {
  for (const CallRecord& it : history.calls) {
    const Milliseconds limit = it.deadline + kDeadlineSlack;
    const bool is_late =
        it.ended - it.sent > limit || it.outcome == CallOutcome::kSilent;
    if (is_late && !HadOutage(history, it.entry, {it.sent, it.sent + limit})) {
      out->push_back(MakeViolation("an answer by the deadline", it));
    }
  }
}

void CheckVersionsIncrease(const History& history, Violations* out) {
  std::map<const NodeProcess*, std::uint64_t> newest;
  for (const VersionObservation& it : history.versions) {
    const NodeProcess* process = ProcessAt(history, it.host, it.at);
    if (process == nullptr || process != ProcessAt(history, it.host, it.read)) {
      continue;
    }
    std::uint64_t& number = newest[process];
    if (it.number < number) {
      out->push_back({"versions only rise", it.at, it.host, "",
                      "version " + std::to_string(it.number) + " after " +
                          std::to_string(number)});
    }
    number = std::max(number, it.number);
  }
}

/// \returns Whether the node that `seen` was read from must have applied
/// `commit`: it was ready before the commit and has not been told to stop, and
/// only planned work happened in between.
bool MustBeInForce(const History& history,
                   const VersionObservation& seen,
                   const AcceptedCommit& commit) {
  const NodeProcess* process = ProcessAt(history, seen.host, seen.at);
  if (process == nullptr ||
      process != ProcessAt(history, seen.host, seen.read) ||
      process->started > commit.at ||
      (process->stop_requested && *process->stop_requested <= seen.at) ||
      !IsPlanned(history, commit.at, seen.at)) {
    return false;
  }
  return std::ranges::any_of(
      history.versions, [&](const VersionObservation& it) {
        return it.host == seen.host && it.is_ready &&
               it.at >= process->started && it.at <= commit.at;
      });
}

void CheckDissemination(const History& history, Violations* out) {
  for (const AcceptedCommit& commit : history.commits) {
    for (const VersionObservation& it : history.versions) {
      if (it.number >= commit.number ||
          it.at < commit.at + kDisseminationLimit + kVersionReadSlack ||
          !MustBeInForce(history, it, commit)) {
        continue;
      }
      out->push_back({"a change is in force in time", it.at, it.host, "",
                      "version " + std::to_string(it.number) + "; " +
                          std::to_string(commit.number) + " was accepted at " +
                          std::to_string(commit.at.count()) + " ms"});
      break;
    }
  }
}

void CheckDrains(const History& history, Violations* out) {
  for (const DrainCheck& it : history.drain_checks) {
    if (it.runs_at_exit > it.runs_at_limit) {
      out->push_back(
          {"no new work beside a leaving node", it.at, it.host, "",
           std::to_string(it.runs_at_exit - it.runs_at_limit) + " runs began"});
    }
  }
}

void CheckRecovery(const History& history, Violations* out) {
  for (const TimeSpan& span : history.recovered) {
    for (std::size_t n = 0; n < kCallKinds; ++n) {
      const auto kind = static_cast<CallKind>(n);
      std::size_t calls = 0;
      std::size_t served = 0;
      for (const CallRecord& it : history.calls) {
        if (it.kind != kind || !span.Contains(it.sent, it.sent)) {
          continue;
        }
        ++calls;
        served += it.outcome == CallOutcome::kAnswered ? 1U : 0U;
      }
      if (calls >= kMinRecoveryCalls && served == 0) {
        out->push_back(
            {"calls are served again", span.end, 0, "",
             "none of " + std::to_string(calls) + " calls, " + NameOf(kind)});
      }
    }
  }
}

constexpr auto kChecks = std::to_array<void (*)(const History&, Violations*)>({
    &CheckExpectedBodies,
    &CheckNotRun,
    &CheckAtMostOnce,
    &CheckPlannedWork,
    &CheckDeadlines,
    &CheckVersionsIncrease,
    &CheckDissemination,
    &CheckDrains,
    &CheckRecovery,
});

}  // namespace

const char* NameOf(CallKind kind) noexcept {
  constexpr std::array<const char*, kCallKinds> kNames{
      "short read", "slow read", "download", "order", "order with a key"};
  return kNames.at(static_cast<std::size_t>(kind));
}

const char* NameOf(CallOutcome outcome) noexcept {
  constexpr std::array<const char*, 6> kNames{"answered", "not run", "unknown",
                                              "cut",      "closed",  "silent"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

std::vector<Violation> Check(const History& history) {
  Violations out;
  for (const auto& rule : kChecks) {
    rule(history, &out);
  }
  std::ranges::sort(out, {}, &Violation::at);
  return out;
}

}  // namespace cassiabend::soak
