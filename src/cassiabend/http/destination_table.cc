#include "cassiabend/http/destination_table.h"

#include <utility>

#include "cassiabend/base/log.h"

namespace cassiabend {
namespace {

/// Open connections that are logged when the process ends.
constexpr std::size_t kMaxLoggedConnections = 16;

}  // namespace

DestinationTable::DestinationTable(ConnectionPool* pool,
                                   const DestinationOptions& options,
                                   RefPtr<BufferedBytes> buffered_bytes,
                                   EventSink* sink)
    : pool_(pool),
      options_(options),
      buffered_bytes_(std::move(buffered_bytes)),
      sink_(sink) {}

void DestinationTable::AddConnection(
    ConnectionId id,
    const PeerRequest& request,
    RefPtr<BufferedRequest> buffered_request,
    std::unique_ptr<ReplyConnection> connection) {
  const AttemptRequest& attempt = request.attempt;
  connections_[id] = {attempt.id, request.verb, std::move(connection)};
  if (request.verb == AttemptVerb::kFetch) {
    sink_->Post(
        CallEvent(FetchArrived{id, attempt.id, attempt.destination_start_id}));
    return;
  }
  if (request.verb == AttemptVerb::kCancel) {
    sink_->Post(
        CallEvent(CancelArrived{id, attempt.id, attempt.destination_start_id}));
    return;
  }
  if (request.verb == AttemptVerb::kOffer) {
    sink_->Post(CallEvent(BodyOffered{id, attempt}));
    return;
  }
  Attempt& entry = attempts_[attempt.id];
  ++entry.run_connections;
  if (entry.buffered_request == nullptr) {
    entry.request = attempt;
    entry.buffered_request = std::move(buffered_request);
  }
  sink_->Post(CallEvent(AttemptArrived{id, attempt}));
}

std::string DestinationTable::AttemptIdOf(ConnectionId id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? std::string()
                                     : ToHex(found->second.attempt);
}

void DestinationTable::HandleAnswerSent(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  delivered_.push_back(found->second.attempt);
  (void)RemoveConnection(id);
  sink_->Post(CallEvent(AnswerSent{id}));
}

void DestinationTable::HandleConnectionLost(ConnectionId id) {
  if (RemoveConnection(id) != nullptr) {
    sink_->Post(CallEvent(ConnectionLost{id}));
  }
}

std::unique_ptr<ReplyConnection> DestinationTable::RemoveConnection(
    ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return nullptr;
  }
  WaitingConnection connection = std::move(found->second);
  connections_.erase(found);
  const auto attempt = attempts_.find(connection.attempt);
  if (attempt == attempts_.end()) {
    return std::move(connection.reply);
  }
  if (connection.verb == AttemptVerb::kRun) {
    --attempt->second.run_connections;
  }
  if (attempt->second.bound_connection == id) {
    attempt->second.bound_connection = 0;
    if (attempt->second.is_released) {
      attempts_.erase(attempt);
    }
  }
  return std::move(connection.reply);
}

void DestinationTable::Execute(const StartUpstream& effect) {
  const auto found = attempts_.find(effect.attempt);
  if (found == attempts_.end() || found->second.buffered_request == nullptr) {
    sink_->Post(CallEvent(UpstreamUnreachable{effect.attempt}));
    return;
  }
  Attempt& attempt = found->second;
  attempt.started = true;
  if (attempt.answer == nullptr) {
    attempt.answer = new AnswerStream(
        {.kept_bytes = options_.held_answer_bytes}, buffered_bytes_);
  }
  attempt.call = std::make_unique<UpstreamCall>(
      pool_,
      UpstreamCallOptions{.endpoint = options_.upstream,
                          .call_protocol = options_.call_protocol,
                          .start = effect,
                          .progress_timeout = options_.progress_timeout,
                          .whole_answer_bytes = options_.whole_answer_bytes},
      attempt.request, attempt.buffered_request, attempt.answer, sink_);
  FreeDeliveredAnswers();
  pool_->Preconnect(options_.upstream, options_.prepared_connections);
}

void DestinationTable::Execute(const CancelUpstream& effect) {
  const auto found = attempts_.find(effect.attempt);
  if (found != attempts_.end()) {
    found->second.call = nullptr;
  }
}

void DestinationTable::Execute(const SendAnswer& effect) {
  const auto connection = connections_.find(effect.connection);
  const auto found = attempts_.find(effect.attempt);
  if (connection == connections_.end()) {
    return;
  }
  if (found == attempts_.end() || found->second.answer == nullptr ||
      !found->second.answer->CanReadFromStart()) {
    CloseConnection(effect.connection);
    return;
  }
  Attempt& attempt = found->second;
  attempt.buffered_request = nullptr;
  const RefPtr<AnswerStream> answer = attempt.answer;
  const ConnectionId old_connection =
      std::exchange(attempt.bound_connection, effect.connection);
  if (old_connection != 0 && old_connection != effect.connection &&
      !answer->ended()) {
    CloseConnection(old_connection);
  }
  connection->second.reply->StreamAnswer(answer, effect);
}

void DestinationTable::CloseConnection(ConnectionId id) {
  if (const auto connection = RemoveConnection(id)) {
    connection->Close();
    sink_->Post(CallEvent(ConnectionLost{id}));
  }
}

void DestinationTable::Execute(const ReplyNotRun& effect) {
  if (const auto connection = RemoveConnection(effect.connection)) {
    connection->SendNotRun(effect);
  }
  RemoveIfNotStarted(effect.attempt);
}

void DestinationTable::Execute(const ReplyStillRunning& effect) {
  if (const auto connection = RemoveConnection(effect.connection)) {
    connection->SendStillRunning();
  }
}

void DestinationTable::Execute(const ReplyBodyWanted& effect) {
  if (const auto connection = RemoveConnection(effect.connection)) {
    connection->SendBodyWanted();
  }
}

void DestinationTable::Execute(const ReplyProgress& effect) {
  const auto connection = connections_.find(effect.connection);
  if (connection != connections_.end()) {
    connection->second.reply->SendProgress();
  }
}

void DestinationTable::Execute(const ReplyUnknown& effect) {
  if (const auto connection = RemoveConnection(effect.connection)) {
    connection->SendUnknown();
  }
}

void DestinationTable::Execute(const ReleaseAttempt& effect) {
  const auto found = attempts_.find(effect.attempt);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  const bool is_being_sent = attempt.bound_connection != 0 &&
                             attempt.answer != nullptr &&
                             !attempt.answer->ended();
  if (is_being_sent) {
    attempt.is_released = true;
    return;
  }
  attempts_.erase(found);
}

void DestinationTable::LogOpenConnections() const {
  std::size_t lines = 0;
  for (const auto& [id, connection] : connections_) {
    if (++lines > kMaxLoggedConnections) {
      break;
    }
    const auto found = attempts_.find(connection.attempt);
    const bool is_sending =
        found != attempts_.end() && found->second.bound_connection == id;
    Log(LogLevel::kWarning, "attempt_cut",
        {{"attempt", ToHex(connection.attempt)},
         {"is_sending", is_sending},
         {"open_links", std::uint64_t{connections_.size()}}});
  }
}

void DestinationTable::Close() {
  connections_.clear();
  attempts_.clear();
}

void DestinationTable::FreeDeliveredAnswers() {
  while (!delivered_.empty() &&
         (buffered_bytes_->total > options_.delivered_limit_bytes ||
          !attempts_.contains(delivered_.front()))) {
    const auto found = attempts_.find(delivered_.front());
    delivered_.pop_front();
    if (found != attempts_.end() && found->second.bound_connection == 0) {
      // The upstream call also refers to the answer.
      found->second.call = nullptr;
      found->second.answer = nullptr;
    }
  }
}

void DestinationTable::RemoveIfNotStarted(const AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found != attempts_.end() && !found->second.started &&
      found->second.run_connections == 0) {
    attempts_.erase(found);
  }
}

}  // namespace cassiabend
