#include "cassiabend/http/server_exchange.h"

#include <algorithm>
#include <utility>

#include "cassiabend/core/large_answer.h"
#include "cassiabend/http/headers.h"
#include "cassiabend/http/message_writer.h"
#include "cassiabend/http/server_session.h"

namespace cassiabend {
namespace {

/// Limit of an answer's bytes in the connection's output.
constexpr std::size_t kOutputWindowBytes = std::size_t{64} * 1024;
constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotModified = 304;

BodyFraming FramingOf(const MessageHead& head,
                      bool is_head_request,
                      bool is_http_1_0) noexcept {
  if (is_head_request || head.status == kNoContent ||
      head.status == kNotModified) {
    return BodyFraming::kNone;
  }
  if (head.content_length.has_value()) {
    return BodyFraming::kLength;
  }
  return is_http_1_0 ? BodyFraming::kUntilClose : BodyFraming::kChunked;
}

}  // namespace

AnswerProgress ServerExchange::progress() const noexcept {
  AnswerProgress out{.sent = position_};
  if (answer_ == nullptr) {
    return out;
  }
  out.arrived = answer_->end_position();
  out.size = answer_->head().content_length.value_or(0);
  if (BulkPacer::Waiter::is_linked()) {
    out.needs = AnswerNeed::kLink;
  } else if (session_ != nullptr && session_->unwritten() > 0) {
    out.needs = AnswerNeed::kReceiver;
  }
  return out;
}

void ServerExchange::Reply(MessageHead head, std::string_view body) {
  if (state_ == State::kAnswering || state_ == State::kFinishing) {
    session_->CutAnswer();
    return;
  }
  if (state_ != State::kWaiting) {
    return;
  }
  DetachAnswer();
  reply_ = std::move(head);
  reply_.content_length = body.size();
  reply_body_ = body;
  has_reply_ = true;
  Pump();
}

void ServerExchange::Relay(RefPtr<AnswerStream> answer,
                           MonoTime due,
                           std::vector<HeaderField> more) {
  if (state_ != State::kWaiting) {
    return;
  }
  DetachAnswer();
  BulkPacer::Waiter::set_due(due);
  added_headers_ = std::move(more);
  answer_ = std::move(answer);
  answer_->set_reader(this);
  Pump();
}

void ServerExchange::SendInterim() {
  if (!has_turn_ || state_ != State::kWaiting || HasAnswer()) {
    return;
  }
  session_->output()->append(ProcessingResponse());
  session_->Flush();
}

void ServerExchange::Abort() {
  if (session_ != nullptr) {
    session_->Abort(this);
  }
}

void ServerExchange::OnAnswerUpdate() {
  Pump();
}

void ServerExchange::StartTurn() {
  has_turn_ = true;
  Pump();
}

void ServerExchange::Pump() {
  if (!has_turn_ || is_pumping_ || state_ == State::kEnded) {
    return;
  }
  const RefPtr<ServerExchange> keep(this);
  if (has_reply_) {
    WriteReply();
  } else if (answer_ != nullptr && answer_->has_head()) {
    PumpAnswer();
  }
}

void ServerExchange::PumpAnswer() {
  if (state_ == State::kWaiting) {
    if (answer_->ended() && !answer_->complete()) {
      // Nothing of it was sent, so the connection can still be used.
      DetachAnswer();
      session_->ReportBrokenAnswer(*this);
      return;
    }
    WriteAnswerHead();
  }
  if (state_ != State::kAnswering) {
    return;
  }
  if (!answer_->CanRead(position_)) {
    session_->CutAnswer();
    return;
  }
  PumpBody();
  const bool is_taken = position_ == answer_->end_position();
  if (answer_->ended() && !answer_->complete()) {
    session_->CutAnswer();
    return;
  }
  if (answer_->ended() && is_taken) {
    AppendBodyEnd(framing_, session_->output());
    Finish();
  }
  session_->Flush();
}

void ServerExchange::WriteReply() {
  if (state_ != State::kWaiting) {
    return;
  }
  has_reply_ = false;
  says_close_ = session_->MarkEndingIfLast(*this);
  AppendResponseHead(reply_, BodyFraming::kLength, !says_close_,
                     session_->output());
  if (!is_head_request_) {
    session_->output()->append(reply_body_);
  }
  Finish();
  session_->Flush();
}

void ServerExchange::WriteAnswerHead() {
  state_ = State::kAnswering;
  session_->RestartSendTimeout();
  MessageHead head = answer_->head();
  if (session_->adds_outcome_header()) {
    head.Add(kOutcomeHeader, kOutcomeAnswered);
  }
  for (const HeaderField& it : added_headers_) {
    head.fields.push_back(it);
  }
  framing_ = FramingOf(head, is_head_request_, is_http_1_0_);
  if (framing_ == BodyFraming::kUntilClose) {
    session_->EndAfterRequest();
  }
  says_close_ = session_->MarkEndingIfLast(*this);
  pending_bytes_ = head.content_length.value_or(0);
  if (pending_bytes_ <= kLargeAnswerBytes) {
    pending_bytes_ = 0;
  } else {
    began_at_ = session_->pacer()->now();
  }
  session_->pacer()->AddPending(pending_bytes_);
  const std::size_t before = session_->output()->size();
  AppendResponseHead(head, framing_, !says_close_, session_->output());
  session_->pacer()->ChargeUnpaced(session_->output()->size() - before);
}

void ServerExchange::PumpBody() {
  is_pumping_ = true;
  while (session_->unwritten() < kOutputWindowBytes) {
    std::string_view bytes =
        answer_->Peek(position_).substr(0, kOutputWindowBytes);
    if (position_ < kLargeAnswerBytes) {
      bytes = bytes.substr(0, kLargeAnswerBytes - position_);
      session_->pacer()->ChargeUnpaced(bytes.size());
    } else {
      bytes = bytes.substr(0, session_->pacer()->Acquire(this, bytes.size()));
    }
    if (bytes.empty()) {
      break;
    }
    if (framing_ != BodyFraming::kNone) {
      AppendBody(bytes, framing_, session_->output());
    }
    position_ += bytes.size();
    RemovePendingBytes(bytes.size());
    answer_->Consume(position_);
  }
  is_pumping_ = false;
}

void ServerExchange::RemovePendingBytes(std::uint64_t bytes) noexcept {
  const std::uint64_t n = std::min(bytes, pending_bytes_);
  pending_bytes_ -= n;
  session_->pacer()->RemovePending(n);
}

void ServerExchange::Finish() {
  state_ = State::kFinishing;
  session_->RestartSendTimeout();
}

void ServerExchange::DetachAnswer() noexcept {
  if (answer_ != nullptr) {
    answer_->ClearReader(this);
    answer_ = nullptr;
  }
}

void ServerExchange::End() noexcept {
  state_ = State::kEnded;
  if (session_ != nullptr) {
    RemovePendingBytes(pending_bytes_);
    link_time_ =
        began_at_ ? session_->pacer()->now() - *began_at_ : Nanoseconds(0);
  }
  session_ = nullptr;
  BulkPacer::Waiter::unlink();
  DetachAnswer();
}

}  // namespace cassiabend
