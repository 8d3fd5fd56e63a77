#include "cassiabend/http/call_table.h"

#include <utility>

#include "cassiabend/base/log.h"
#include "cassiabend/http/headers.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
namespace {

/// Open calls that are logged when the process ends.
constexpr std::size_t kMaxLoggedCalls = 16;

std::string_view NameOf(AnswerNeed need) noexcept {
  constexpr std::string_view kNames[] = {"source", "link", "receiver"};
  return kNames[static_cast<std::size_t>(need)];
}

}  // namespace

/// \brief Reply connection of an attempt at this host's upstream, within this
/// process: replies become events.
class CallTable::LocalReplyConnection final : public ReplyConnection,
                                              private AnswerReader {
 public:
  LocalReplyConnection(CallTable* table, CallId call, const AttemptId& attempt)
      : table_(table), call_(call), attempt_(attempt) {}
  LocalReplyConnection(const LocalReplyConnection&) = delete;
  LocalReplyConnection& operator=(const LocalReplyConnection&) = delete;
  ~LocalReplyConnection() override { StopWaiting(); }

  void SendNotRun(const ReplyNotRun& reply) override {
    Post(AttemptNotRun{call_, attempt_, reply.reason, reply.retry_after,
                       reply.reached_upstream, reply.times});
  }
  void SendStillRunning() override {
    Post(AttemptStillRunning{call_, attempt_});
  }
  void SendBodyWanted() override { Post(BodyWanted{call_, attempt_}); }
  void SendProgress() override {}
  void SendUnknown() override { Post(AttemptUnknown{call_, attempt_}); }
  void Close() override { StopWaiting(); }

  void StreamAnswer(RefPtr<AnswerStream> answer,
                    const SendAnswer& bound) override {
    times_ = bound.times;
    answer_ = std::move(answer);
    answer_->set_reader(this);
    OnAnswerUpdate();
  }

 private:
  void OnAnswerUpdate() override {
    if (!answer_->has_head()) {
      return;
    }
    const auto found = table_->attempts_.find(attempt_);
    if (found != table_->attempts_.end()) {
      found->second.local_answer = answer_;
    }
    Post(AttemptAnswerStarted{call_, attempt_, answer_->head().status, times_});
    StopWaiting();
  }

  void StopWaiting() {
    if (answer_ != nullptr) {
      answer_->ClearReader(this);
      answer_ = nullptr;
    }
  }

  void Post(CallEvent event) { table_->sink_->Post(std::move(event)); }

  CallTable* table_;
  CallId call_;
  AttemptId attempt_;
  DestinationTimes times_;
  RefPtr<AnswerStream> answer_;
};

CallTable::CallTable(NodeId self,
                     ConnectionPool* pool,
                     BulkPacer* pacer,
                     Milliseconds progress_timeout,
                     RefPtr<BufferedBytes> buffered_bytes,
                     DestinationTable* destination,
                     std::uint64_t* next_id,
                     const CallProtocol* call_protocol,
                     TrafficSplit* traffic,
                     EventSink* sink)
    : self_(std::move(self)),
      pool_(pool),
      pacer_(pacer),
      progress_timeout_(progress_timeout),
      buffered_bytes_(std::move(buffered_bytes)),
      destination_(destination),
      next_id_(next_id),
      call_protocol_(call_protocol),
      traffic_(traffic),
      sink_(sink) {}

void CallTable::AddCall(CallId id,
                        CallMetadata metadata,
                        RefPtr<BufferedRequest> buffered_request,
                        ServerExchange& exchange) {
  calls_[id] = {.exchange = RefPtr<ServerExchange>(&exchange),
                .buffered_request = std::move(buffered_request),
                .request_id = metadata.request_id};
  sink_->Post(
      CallEvent(CallArrived{id, std::move(metadata), !exchange.has_turn()}));
}

void CallTable::HandleTurn(CallId id) {
  sink_->Post(CallEvent(CallTurn{id}));
}

void CallTable::HandleBrokenAnswer(CallId id) {
  Execute(
      AnswerUnknown{id, "the upstream's answer ended before it was complete"});
}

void CallTable::HandleCallerClosed(CallId id) {
  if (calls_.erase(id) != 0) {
    sink_->Post(CallEvent(CallerDisconnected{id}));
  }
}

void CallTable::HandleAnswerEnd(CallId id, bool complete, std::uint64_t bytes) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  const AttemptId attempt = found->second.relayed_attempt;
  calls_.erase(found);
  if (attempt.IsZero()) {
    return;
  }
  const auto sent = attempts_.find(attempt);
  if (complete && sent != attempts_.end()) {
    destination_->HandleAnswerSent(std::exchange(sent->second.connection, 0));
  }
  sink_->Post(CallEvent(AnswerRelayed{id, attempt, complete, bytes}));
}

void CallTable::Execute(const SendAttempt& effect) {
  RefPtr<BufferedRequest> buffered_request;
  if (effect.verb == AttemptVerb::kRun) {
    const auto call = calls_.find(effect.call);
    if (call == calls_.end()) {
      sink_->Post(CallEvent(AttemptConnectionLost{
          effect.call, effect.request.id, ConnectionLoss::kNeverSent}));
      return;
    }
    buffered_request = call->second.buffered_request;
    if (effect.request.has_verified_team) {
      call_protocol_->RemoveKey(&buffered_request->head());
    }
  }
  if (effect.destination == self_) {
    SendLocally(effect, std::move(buffered_request));
    return;
  }
  Attempt& attempt = GetOrAddAttempt(effect.call, effect.request.id);
  attempt.client = std::make_unique<AttemptClient>(
      pool_, pacer_, effect, buffered_request, buffered_bytes_,
      progress_timeout_, traffic_, sink_);
}

void CallTable::SendLocally(const SendAttempt& effect,
                            RefPtr<BufferedRequest> buffered_request) {
  const ConnectionId connection = (*next_id_)++;
  Attempt& attempt = GetOrAddAttempt(effect.call, effect.request.id);
  const ConnectionId old_connection =
      std::exchange(attempt.connection, connection);
  destination_->HandleConnectionLost(old_connection);
  destination_->AddConnection(connection, {effect.verb, effect.request},
                              std::move(buffered_request),
                              std::make_unique<LocalReplyConnection>(
                                  this, effect.call, effect.request.id));
}

RefPtr<AnswerStream> CallTable::AnswerOf(const AttemptId& id) const {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return nullptr;
  }
  const Attempt& attempt = found->second;
  return attempt.client != nullptr ? attempt.client->answer()
                                   : attempt.local_answer;
}

void CallTable::Execute(const RelayAnswer& effect) {
  const auto call = calls_.find(effect.call);
  if (call == calls_.end()) {
    return;
  }
  const RefPtr<AnswerStream> answer = AnswerOf(effect.attempt);
  if (answer == nullptr) {
    return;
  }
  call->second.relayed_attempt = effect.attempt;
  call->second.buffered_request = nullptr;
  const RefPtr<ServerExchange> exchange = call->second.exchange;
  exchange->Relay(answer, effect.due);
}

void CallTable::Execute(const DropAttempt& effect) {
  RemoveAttempt(effect.attempt);
}

void CallTable::Execute(const CallEnded& effect) {
  const auto found = attempts_of_.find(effect.call);
  if (found == attempts_of_.end()) {
    return;
  }
  const std::vector<AttemptId> attempts = std::move(found->second);
  attempts_of_.erase(found);
  for (const AttemptId& it : attempts) {
    RemoveAttempt(it);
  }
}

CallTable::Attempt& CallTable::GetOrAddAttempt(CallId call,
                                               const AttemptId& id) {
  const auto [found, is_new] = attempts_.try_emplace(id);
  if (is_new) {
    attempts_of_[call].push_back(id);
  }
  return found->second;
}

void CallTable::RemoveAttempt(const AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  destination_->HandleConnectionLost(attempt.connection);
}

void CallTable::Execute(const AnswerNotRun& effect) {
  const auto call = calls_.find(effect.call);
  if (call == calls_.end()) {
    return;
  }
  const RefPtr<ServerExchange> exchange = call->second.exchange;
  exchange->Reply(
      call_protocol_->MakeNotRunHead(effect.reason, effect.retry_after),
      ExplanationBody(kOutcomeNotRun, NameOf(effect.reason), effect.detail));
}

void CallTable::Execute(const AnswerUnknown& effect) {
  const auto call = calls_.find(effect.call);
  if (call == calls_.end()) {
    return;
  }
  const RefPtr<ServerExchange> exchange = call->second.exchange;
  exchange->Reply(call_protocol_->MakeUnknownHead(effect.timed_out),
                  ExplanationBody(kOutcomeUnknown, {}, effect.detail));
}

void CallTable::LogOpenCalls() const {
  std::size_t lines = 0;
  for (const auto& [id, call] : calls_) {
    if (++lines > kMaxLoggedCalls) {
      break;
    }
    const AnswerProgress progress = call.exchange->progress();
    Log(LogLevel::kWarning, "call_cut",
        {{"request", call.request_id},
         {"attempt",
          call.relayed_attempt.IsZero() ? "" : ToHex(call.relayed_attempt)},
         {"needs", NameOf(progress.needs)},
         {"sent_bytes", progress.sent},
         {"arrived_bytes", progress.arrived},
         {"size_bytes", progress.size},
         {"open_calls", std::uint64_t{calls_.size()}}});
  }
}

std::string CallTable::RequestIdOfCall(CallId id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? std::string() : found->second.request_id;
}

void CallTable::Close() {
  attempts_.clear();
  attempts_of_.clear();
  calls_.clear();
}

}  // namespace cassiabend
