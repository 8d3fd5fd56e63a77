// Ends calls and collects the details of their outcomes for logs.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "cassiabend/core/call_entry.h"
#include "cassiabend/core/call_refusals.h"

namespace cassiabend {

void CallEntry::FinishNotRun(Call* call, const Refusal& refusal) {
  const Milliseconds wait = RetryAfterOf(refusal, &context_->random);
  call->reason = NameOf(refusal.reason);
  ReturnAllotment(*call);
  // Callers do not repeat a call that was refused for its key.
  const bool may_return = refusal.reason != NotRunReason::kUnknownKey;
  if (may_return && call->caller_deadline && call->route != nullptr) {
    refused_calls_.Record(call->route->name, context_->now.mono,
                          call->first_sent_at, *call->caller_deadline);
  }
  context_->Emit(AnswerNotRun{call->id, refusal.reason, wait,
                              std::string(NameOf(refusal.reason))});
  Finish(call, NameOf(refusal.reason));
}

void CallEntry::FinishUnknown(Call* call,
                              std::string_view reason,
                              std::string detail,
                              bool timed_out) {
  call->reason = reason;
  call->detail = detail;
  context_->Emit(AnswerUnknown{call->id, std::move(detail), timed_out});
  Finish(call, "unknown");
}

/// \brief Adds the details that explain the outcome of a call, for logs.
void CallEntry::AddOutcomeDetails(const Call& call, CallEnded* ended) const {
  ended->request_id = call.metadata.request_id;
  ended->status = call.status;
  ended->reason = call.reason;
  ended->detail = call.detail;
  ended->phases = call.phases;
  ended->no_retry = call.no_retry;
  ended->retry_budget_left = RetryBudgetLeft(call);
  ended->service = call.service;
  ended->config_number = call.snapshot ? call.snapshot->mark().number : 0;
  ended->left = Remaining(call);
  if (call.route != nullptr) {
    ended->objective = call.route->latency_objective;
  }
  if (call.tried.empty()) {
    return;
  }
  const Upstream& upstream = *call.tried.back();
  ended->attempt = call.request.id;
  ended->destination = upstream.member().id;
  ended->load_permille = upstream.stats().load_permille;
  ended->load_age = std::chrono::floor<Milliseconds>(
      context_->now.mono - upstream.stats().load_reported_at);
}

void CallEntry::RecordInnerCall(const Call& call, std::string_view outcome) {
  if (context_->options.inner_calls == 0 || call.metadata.depth == 0 ||
      outcome == "caller_gone") {
    return;
  }
  // An error of an upstream shows no lack of room, and less new work would not
  // mend it.
  context_->run_gate.Record(context_->now.mono, outcome == "answered");
}

void CallEntry::Finish(Call* call, std::string_view outcome) {
  RecordInnerCall(*call, outcome);
  CallEnded ended;
  ended.call = call->id;
  ended.team = call->metadata.team;
  if (call->route != nullptr) {
    ended.request_class = call->route->request_class;
    ended.route = call->route->name;
  }
  ended.outcome = outcome;
  ended.elapsed = context_->now.mono - call->arrived_at;
  ended.attempts = static_cast<std::uint8_t>(call->tried.size());
  AddOutcomeDetails(*call, &ended);
  context_->Emit(std::move(ended));
  awaiting_key_.erase(call->id);
  calls_.erase(CallId(call->id));
}

}  // namespace cassiabend
