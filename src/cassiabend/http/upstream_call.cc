#include "cassiabend/http/upstream_call.h"

#include <utility>

#include "cassiabend/http/call_headers.h"
#include "cassiabend/http/headers.h"
#include "cassiabend/http/message_rules.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
namespace {

constexpr std::uint16_t kServiceUnavailable = 503;
/// Answers up to this size are passed on only when they are whole, so that an
/// upstream that breaks off within one can still be replaced by another.
constexpr std::uint64_t kWholeAnswerBytes = 16'384;

/// \returns Whether the upstream says that it refused before running.
bool IsShed(const MessageHead& head) noexcept {
  return head.status == kServiceUnavailable &&
         head.Get(kUpstreamShedHeader) == "1";
}

}  // namespace

UpstreamCall::UpstreamCall(OutgoingPool* pool,
                           const UpstreamCallOptions& options,
                           const AttemptRequest& attempt,
                           const RefPtr<HeldRequest>& held,
                           RefPtr<AnswerStream> answer,
                           EventSink* sink)
    : attempt_(attempt.id),
      answer_(std::move(answer)),
      sink_(sink),
      exchange_(new ClientExchange(pool, options.endpoint, this)) {
  answer_->set_writer(this);
  ExchangeRequest request{.head = held->head(),
                          .held = held,
                          .head_timeout = options.deadline,
                          .body_timeout = options.progress_timeout};
  WriteUpstreamHeaders(attempt, options.deadline, &request.head);
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

void UpstreamCall::OnResponseHead(MessageHead& head) {
  is_shed_ = IsShed(head);
  if (is_shed_) {
    sink_->Post(CallEvent(UpstreamShed{attempt_, ReadRetryAfter(head)}));
    return;
  }
  const bool is_small = head.content_length.has_value() &&
                        *head.content_length <= kWholeAnswerBytes;
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
  sink_->Post(CallEvent(UpstreamAnswering{attempt_, pending_head_->status}));
  answer_->Begin(std::move(*pending_head_));
  pending_head_.reset();
}

void UpstreamCall::OnResponseBody(std::string_view bytes) {
  if (is_shed_) {
    return;
  }
  answer_->Append(bytes);
  if (!answer_->HasRoom()) {
    exchange_->Pause();
  }
}

void UpstreamCall::OnResponseEnd() {
  exchange_ = nullptr;
  if (is_shed_) {
    return;
  }
  PassOnHead();
  sink_->Post(CallEvent(UpstreamFinished{attempt_}));
  answer_->Finish(true);
}

void UpstreamCall::OnExchangeFailed(ExchangeFailure failure) {
  exchange_ = nullptr;
  if (is_shed_) {
    return;
  }
  if (failure == ExchangeFailure::kNeverSent) {
    sink_->Post(CallEvent(UpstreamUnreached{attempt_}));
    return;
  }
  sink_->Post(CallEvent(UpstreamBroken{attempt_}));
  answer_->Finish(false);
}

void UpstreamCall::OnRoom() {
  if (exchange_ != nullptr) {
    exchange_->Resume();
  }
}

}  // namespace cassiabend
