#include "cassiabend/http/upstream_call.h"

#include <algorithm>
#include <utility>

#include "cassiabend/http/call_headers.h"
#include "cassiabend/http/headers.h"
#include "cassiabend/http/message_rules.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
UpstreamCall::UpstreamCall(OutgoingPool* pool,
                           const UpstreamCallOptions& options,
                           const AttemptRequest& attempt,
                           const RefPtr<HeldRequest>& held,
                           RefPtr<AnswerStream> answer,
                           EventSink* sink)
    : attempt_(attempt.id),
      answer_(std::move(answer)),
      sink_(sink),
      exchange_(new ClientExchange(pool, options.endpoint, this)),
      wire_(options.wire),
      whole_answer_bytes_(options.whole_answer_bytes) {
  answer_->set_writer(this);
  ExchangeRequest request{.head = held->head(),
                          .held = held,
                          .head_timeout = options.start.deadline,
                          // A pause within the answer is the upstream's own
                          // affair until the deadline.
                          .body_timeout = std::max(options.progress_timeout,
                                                   options.start.deadline),
                          .may_resend = !attempt.once};
  wire_->WriteUpstreamHeaders(attempt, options.start, &request.head);
  request_id_ = wire_->RequestIdOf(request.head);
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

bool UpstreamCall::IsOwnResponse(const MessageHead& head) {
  verdict_ = wire_->ReadVerdict(request_id_, head);
  return verdict_ != UpstreamVerdict::kForeign;
}

void UpstreamCall::OnResponseHead(MessageHead& head) {
  if (verdict_ == UpstreamVerdict::kReplaced) {
    sink_->Post(CallEvent(UpstreamReplaced{attempt_}));
    return;
  }
  if (is_refused()) {
    sink_->Post(CallEvent(UpstreamShed{attempt_, ReadRetryAfter(head)}));
    return;
  }
  const bool is_small = head.content_length.value_or(0) <= whole_answer_bytes_;
  StripConnectionHeaders(&head);
  StripSystemHeaders(&head);
  pending_head_ = std::move(head);
  if (!is_small) {
    PassOnHead();
  }
}

void UpstreamCall::PassOnHead() {
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
  // An answer of unknown length is passed on once it turns out to be large.
  if (pending_head_ &&
      (answer_->end_position() > whole_answer_bytes_ || !answer_->HasRoom())) {
    PassOnHead();
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
  PassOnHead();
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

void UpstreamCall::OnRoom() {
  if (exchange_ != nullptr) {
    exchange_->Resume();
  }
}

}  // namespace cassiabend
