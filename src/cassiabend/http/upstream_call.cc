#include "cassiabend/http/upstream_call.h"

#include <algorithm>
#include <utility>

#include "cassiabend/http/call_headers.h"
#include "cassiabend/http/headers.h"
#include "cassiabend/http/message_rules.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
UpstreamCall::UpstreamCall(ConnectionPool* pool,
                           const UpstreamCallOptions& options,
                           const AttemptRequest& attempt,
                           const RefPtr<BufferedRequest>& buffered_request,
                           RefPtr<AnswerStream> answer,
                           EventSink* sink)
    : attempt_(attempt.id),
      answer_(std::move(answer)),
      sink_(sink),
      exchange_(new ClientExchange(pool, options.endpoint, this)),
      call_protocol_(options.call_protocol),
      whole_answer_bytes_(options.whole_answer_bytes) {
  answer_->set_writer(this);
  ExchangeRequest request{.head = buffered_request->head(),
                          .body_source = buffered_request,
                          .head_timeout = options.start.deadline,
                          // The upstream may pause within its answer until the
                          // deadline.
                          .body_timeout = std::max(options.progress_timeout,
                                                   options.start.deadline),
                          .may_resend = !attempt.once};
  call_protocol_->WriteUpstreamHeaders(attempt, options.start, &request.head);
  request_id_ = call_protocol_->RequestIdOf(request.head);
  request.id = request_id_;
  exchange_->Start(std::move(request));
}

UpstreamCall::~UpstreamCall() {
  if (exchange_ != nullptr) {
    exchange_->Cancel();
  }
  if (!answer_->ended()) {
    answer_->Finish(false);
  }
}

ResponseMatch UpstreamCall::MatchResponse(const MessageHead& head) {
  return call_protocol_->MatchAnswer(request_id_, head);
}

void UpstreamCall::OnResponseHead(MessageHead& head) {
  if (const auto load = call_protocol_->ReadLoad(head)) {
    sink_->Post(CallEvent(UpstreamLoadReported{*load}));
  }
  outcome_ = call_protocol_->ReadUpstreamOutcome(request_id_, head);
  if (is_refused()) {
    exchange_->MarkRefused();
  }
  if (outcome_ == UpstreamOutcome::kReplaced) {
    sink_->Post(CallEvent(UpstreamReplaced{attempt_}));
    return;
  }
  if (is_refused()) {
    sink_->Post(CallEvent(UpstreamShed{attempt_, ReadRetryAfter(head)}));
    return;
  }
  const bool is_small = head.content_length.value_or(0) <= whole_answer_bytes_;
  StripHopByHopHeaders(&head);
  StripSystemHeaders(&head);
  pending_head_ = std::move(head);
  if (!is_small) {
    ForwardHead();
  }
}

void UpstreamCall::ForwardHead() {
  if (!pending_head_) {
    return;
  }
  sink_->Post(
      CallEvent(UpstreamAnswerStarted{attempt_, pending_head_->status}));
  answer_->Begin(std::move(*pending_head_));
  pending_head_.reset();
}

void UpstreamCall::OnResponseBody(std::string_view bytes) {
  if (is_refused()) {
    return;
  }
  answer_->Append(bytes);
  // An answer of unknown length is forwarded once it turns out to be large.
  if (pending_head_ &&
      (answer_->end_position() > whole_answer_bytes_ || !answer_->HasRoom())) {
    ForwardHead();
  }
  if (!answer_->HasRoom()) {
    exchange_->Pause();
  }
}

void UpstreamCall::OnResponseEnd() {
  exchange_ = nullptr;
  if (is_refused()) {
    return;
  }
  ForwardHead();
  sink_->Post(
      CallEvent(UpstreamAnswerCompleted{attempt_, answer_->end_position()}));
  answer_->Finish(true);
}

void UpstreamCall::OnExchangeFailed(ExchangeFailure failure) {
  exchange_ = nullptr;
  if (is_refused()) {
    return;
  }
  if (failure == ExchangeFailure::kNeverSent) {
    sink_->Post(CallEvent(UpstreamUnreachable{attempt_}));
    return;
  }
  sink_->Post(CallEvent(UpstreamConnectionLost{attempt_}));
  answer_->Finish(false);
}

void UpstreamCall::OnRoomAvailable() {
  if (exchange_ != nullptr) {
    exchange_->Resume();
  }
}

}  // namespace cassiabend
