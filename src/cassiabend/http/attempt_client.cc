#include "cassiabend/http/attempt_client.h"

#include <utility>

#include "cassiabend/http/call_headers.h"
#include "cassiabend/http/headers.h"
#include "cassiabend/http/message_rules.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
namespace {

ConnectionLoss LossOf(ExchangeFailure failure) noexcept {
  switch (failure) {
    case ExchangeFailure::kNeverSent:
      return ConnectionLoss::kNeverSent;
    case ExchangeFailure::kTimedOut:
      return ConnectionLoss::kTimedOut;
    default:
      return ConnectionLoss::kBroken;
  }
}

/// \returns The head of the request that carries `send` to its destination.
MessageHead PeerHead(const SendAttempt& send,
                     const BufferedRequest* buffered_request) {
  MessageHead head;
  if (buffered_request != nullptr) {
    head = buffered_request->head();
  } else {
    head.method = "POST";
    head.target = "/";
    head.Add("Host", send.destination.ip);
    head.content_length = 0;
  }
  WritePeerRequest({send.verb, send.request}, &head);
  return head;
}

}  // namespace

AttemptClient::AttemptClient(ConnectionPool* pool,
                             BulkPacer* pacer,
                             const SendAttempt& send,
                             const RefPtr<BufferedRequest>& buffered_request,
                             RefPtr<BufferedBytes> buffered_bytes,
                             Milliseconds progress_timeout,
                             TrafficSplit* traffic,
                             EventSink* sink)
    : call_(send.call),
      attempt_(send.request.id),
      verb_(send.verb),
      buffered_bytes_(std::move(buffered_bytes)),
      traffic_(traffic),
      peer_ip_(send.destination.ip),
      sink_(sink) {
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(send.destination.ip, ec);
  if (ec) {
    PostLost(ConnectionLoss::kNeverSent);
    return;
  }
  exchange_ = new ClientExchange(pool, {address, send.call_port}, this);
  exchange_->Start({.head = PeerHead(send, buffered_request.get()),
                    .body_source = buffered_request,
                    .body_pacer = send.request.body_bytes > 0 ? pacer : nullptr,
                    .head_timeout = progress_timeout,
                    .body_timeout = progress_timeout,
                    .interim_is_progress = true,
                    .may_reuse = verb_ == AttemptVerb::kRun ||
                                 verb_ == AttemptVerb::kOffer});
}

AttemptClient::~AttemptClient() {
  if (exchange_ != nullptr) {
    exchange_->Cancel();
  }
  if (answer_ != nullptr && !answer_->ended()) {
    answer_->Finish(false);
  }
}

ResponseMatch AttemptClient::MatchResponse(const MessageHead& head) {
  const std::string_view id = head.Get(kAttemptHeader);
  if (id.empty()) {
    return ResponseMatch::kUnstated;
  }
  return id == ToHex(attempt_) ? ResponseMatch::kOwn : ResponseMatch::kOther;
}

void AttemptClient::OnRequestSent(std::uint64_t bytes) {
  if (traffic_ != nullptr) {
    traffic_->RecordSent(TrafficPurpose::kAttempts, peer_ip_, bytes);
  }
}

/// \brief Counts received bytes as the answer's once it has begun.
void AttemptClient::RecordReceived(std::uint64_t bytes) noexcept {
  if (traffic_ != nullptr) {
    traffic_->RecordReceived(answer_ != nullptr ? TrafficPurpose::kAnswers
                                                : TrafficPurpose::kAttempts,
                             peer_ip_, bytes);
  }
}

void AttemptClient::OnResponseHead(MessageHead& head) {
  const std::size_t head_bytes = head.wire_bytes;
  const Outcome outcome = ReadOutcome(head);
  if (outcome.name == kOutcomeAnswered) {
    const std::uint16_t status = head.status;
    StripHopByHopHeaders(&head);
    StripSystemHeaders(&head);
    answer_ = new AnswerStream(AnswerLimits{}, buffered_bytes_);
    answer_->set_writer(this);
    answer_->Begin(std::move(head));
    sink_->Post(CallEvent(
        AttemptAnswerStarted{call_, attempt_, status, outcome.times}));
  } else if (outcome.name == kOutcomeNotRun) {
    sink_->Post(CallEvent(
        AttemptNotRun{call_, attempt_, outcome.reason, outcome.retry_after,
                      outcome.reached_upstream, outcome.times}));
  } else if (outcome.name == kOutcomeBodyWanted) {
    sink_->Post(CallEvent(BodyWanted{call_, attempt_}));
  } else if (outcome.name == kOutcomeStillRunning) {
    sink_->Post(CallEvent(AttemptStillRunning{call_, attempt_}));
  } else {
    sink_->Post(CallEvent(AttemptUnknown{call_, attempt_}));
  }
  RecordReceived(head_bytes);
}

void AttemptClient::OnResponseBody(std::string_view bytes) {
  RecordReceived(bytes.size());
  if (answer_ == nullptr) {
    return;
  }
  answer_->Append(bytes);
  if (!answer_->HasRoom()) {
    exchange_->Pause();
  }
}

void AttemptClient::OnResponseEnd() {
  exchange_ = nullptr;
  if (answer_ != nullptr) {
    answer_->Finish(true);
  }
}

void AttemptClient::OnExchangeFailed(ExchangeFailure failure) {
  exchange_ = nullptr;
  if (answer_ != nullptr) {
    answer_->Finish(false);
    return;
  }
  PostLost(LossOf(failure));
}

void AttemptClient::OnRoomAvailable() {
  if (exchange_ != nullptr) {
    exchange_->Resume();
  }
}

void AttemptClient::PostLost(ConnectionLoss loss) {
  sink_->Post(CallEvent(AttemptConnectionLost{call_, attempt_, loss}));
}

}  // namespace cassiabend
