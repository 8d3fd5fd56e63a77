#include "cassiabend/http/server_session.h"

#include <algorithm>
#include <utility>

#include "cassiabend/http/headers.h"
#include "cassiabend/http/message_writer.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
namespace {

/// Bytes of an answer that wait in the connection's output.
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

std::uint16_t StatusOf(ParseError error) noexcept {
  switch (error) {
    case ParseError::kHeaderTooLarge:
      return 431;
    case ParseError::kBodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

std::string_view DetailOf(ParseError error) noexcept {
  switch (error) {
    case ParseError::kHeaderTooLarge:
      return "the header is too large";
    case ParseError::kBodyTooLarge:
      return "the body is too large";
    default:
      return "the message is not well-formed HTTP/1.1";
  }
}

}  // namespace

ServerSession::ServerSession(Connection::Socket socket,
                             TickList* ticks,
                             const SessionOptions& options,
                             RefPtr<HeldBytes> held_bytes,
                             SessionHandler* handler)
    : options_(options),
      held_bytes_(std::move(held_bytes)),
      handler_(handler),
      connection_(new Connection(std::move(socket),
                                 ticks,
                                 MessageKind::kRequest,
                                 options.limits)) {}

ServerSession::~ServerSession() {
  Close();
}

void ServerSession::Start() {
  connection_->set_listener(this);
  connection_->SetTimeout(options_.idle_timeout);
  connection_->Start();
}

void ServerSession::OnMessageStart() {
  state_ = State::kReading;
  connection_->SetTimeout(options_.header_timeout);
}

void ServerSession::OnHead(MessageHead& head) {
  is_head_request_ = head.method == "HEAD";
  is_http_1_0_ = head.is_http_1_0;
  keep_alive_ = keep_alive_ && head.keep_alive && !head.is_http_1_0;
  const bool expects_continue = head.expects_continue;
  const std::uint64_t body_bytes = head.content_length.value_or(0);
  request_ = new HeldRequest(held_bytes_);
  request_->SetHead(std::move(head));
  connection_->SetTimeout(options_.progress_timeout);
  if (!MayHold(body_bytes)) {
    Refuse(NotRunHead(NotRunReason::kOverloaded, Seconds(1)),
           "too many bytes are held");
    return;
  }
  if (expects_continue) {
    connection_->output()->append(ContinueResponse());
    connection_->Flush();
  }
}

void ServerSession::OnBody(std::string_view bytes) {
  if (state_ != State::kReading) {
    return;
  }
  connection_->SetTimeout(options_.progress_timeout);
  request_->AppendBody(bytes);
  if (!MayHold(0)) {
    Refuse(NotRunHead(NotRunReason::kOverloaded, Seconds(1)),
           "too many bytes are held");
  }
}

void ServerSession::OnMessageEnd() {
  if (state_ != State::kReading) {
    return;
  }
  state_ = State::kWaiting;
  position_ = 0;
  connection_->ClearTimeout();
  handler_->OnRequest(*this, std::move(request_));
}

bool ServerSession::MayHold(std::uint64_t more) const noexcept {
  return held_bytes_->n + more <= options_.max_held_bytes;
}

void ServerSession::OnEnd(ConnectionEnd end) {
  const RefPtr<ServerSession> keep(this);
  if (end == ConnectionEnd::kBadMessage && state_ <= State::kReading) {
    RefuseMessage(connection_->parse_error());
    return;
  }
  if (state_ == State::kWaiting) {
    handler_->OnPeerGone(*this);
  } else if (state_ == State::kAnswering || state_ == State::kFinishing) {
    handler_->OnAnswerEnd(*this, false);
  }
  EndSession();
}

void ServerSession::RefuseMessage(ParseError error) {
  Refuse(RefusalHead(StatusOf(error)), DetailOf(error));
}

/// \brief Answers a message that did not become a request, and closes.
void ServerSession::Refuse(const MessageHead& head, std::string_view body) {
  const RefPtr<ServerSession> keep(this);
  handler_->OnRefused();
  MessageHead answer = head;
  const std::string text =
      ExplanationBody(kOutcomeNotRun, answer.Get(kReasonHeader), body);
  answer.content_length = text.size();
  AppendResponseHead(answer, BodyFraming::kLength, false,
                     connection_->output());
  connection_->output()->append(text);
  connection_->CloseAfterWrite();
  EndSession();
}

void ServerSession::Reply(MessageHead head, std::string_view body) {
  if (state_ == State::kAnswering || state_ == State::kFinishing) {
    CutAnswer();
    return;
  }
  if (state_ != State::kWaiting) {
    return;
  }
  DetachAnswer();
  head.content_length = body.size();
  says_close_ = !keep_alive_;
  AppendResponseHead(head, BodyFraming::kLength, keep_alive_,
                     connection_->output());
  if (!is_head_request_) {
    connection_->output()->append(body);
  }
  FinishAnswer();
  connection_->Flush();
}

void ServerSession::Relay(RefPtr<AnswerStream> answer, std::string times) {
  if (state_ != State::kWaiting) {
    return;
  }
  times_ = std::move(times);
  DetachAnswer();
  answer_ = std::move(answer);
  answer_->set_reader(this);
  position_ = 0;
  OnAnswer();
}

void ServerSession::OnAnswer() {
  if (is_pumping_ || answer_ == nullptr || !answer_->has_head()) {
    return;
  }
  const RefPtr<ServerSession> keep(this);
  if (state_ == State::kWaiting) {
    SendAnswerHead();
  }
  if (state_ != State::kAnswering) {
    return;
  }
  if (!answer_->Reaches(position_)) {
    CutAnswer();
    return;
  }
  PumpBody();
  const bool is_taken = position_ == answer_->end_position();
  if (answer_->ended() && !answer_->complete()) {
    CutAnswer();
    return;
  }
  if (answer_->ended() && is_taken) {
    AppendBodyEnd(framing_, connection_->output());
    FinishAnswer();
  }
  connection_->Flush();
}

void ServerSession::SendAnswerHead() {
  state_ = State::kAnswering;
  connection_->SetTimeout(options_.idle_timeout);
  MessageHead head = answer_->head();
  if (options_.states_outcome) {
    head.Add(kOutcomeHeader, kOutcomeAnswered);
  }
  if (!times_.empty()) {
    head.Add(kTimesHeader, times_);
  }
  framing_ = FramingOf(head, is_head_request_, is_http_1_0_);
  keep_alive_ = keep_alive_ && framing_ != BodyFraming::kUntilClose;
  says_close_ = !keep_alive_;
  AppendResponseHead(head, framing_, keep_alive_, connection_->output());
}

void ServerSession::PumpBody() {
  is_pumping_ = true;
  while (connection_->unwritten() < kOutputWindowBytes) {
    const std::string_view bytes =
        answer_->Peek(position_).substr(0, kOutputWindowBytes);
    if (bytes.empty()) {
      break;
    }
    if (framing_ != BodyFraming::kNone) {
      AppendBody(bytes, framing_, connection_->output());
    }
    position_ += bytes.size();
    answer_->Consume(position_);
  }
  is_pumping_ = false;
}

void ServerSession::FinishAnswer() {
  state_ = State::kFinishing;
  connection_->SetTimeout(options_.idle_timeout);
}

/// \brief Closes within an answer, so that the other end sees it cut.
void ServerSession::CutAnswer() {
  const RefPtr<ServerSession> keep(this);
  connection_->Close();
  handler_->OnAnswerEnd(*this, false);
  EndSession();
}

void ServerSession::OnDrained() {
  if (state_ == State::kAnswering) {
    connection_->SetTimeout(options_.idle_timeout);
    OnAnswer();
    return;
  }
  if (state_ != State::kFinishing) {
    return;
  }
  const RefPtr<ServerSession> keep(this);
  DetachAnswer();
  state_ = State::kIdle;
  handler_->OnAnswerEnd(*this, true);
  if (state_ != State::kIdle) {
    return;
  }
  if (says_close_) {
    connection_->CloseAfterWrite();
    EndSession();
    return;
  }
  StartNext();
}

void ServerSession::StartNext() {
  connection_->SetTimeout(options_.idle_timeout);
  connection_->NextMessage(false);
}

void ServerSession::Abort() {
  const RefPtr<ServerSession> keep(this);
  connection_->Close();
  EndSession();
}

void ServerSession::DetachAnswer() noexcept {
  if (answer_ != nullptr) {
    answer_->ClearReader(this);
    answer_ = nullptr;
  }
}

void ServerSession::EndSession() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  DetachAnswer();
  request_ = nullptr;
  handler_->OnSessionEnd(*this);
}

void ServerSession::Close() noexcept {
  state_ = State::kClosed;
  DetachAnswer();
  connection_->Close();
}

}  // namespace cassiabend
