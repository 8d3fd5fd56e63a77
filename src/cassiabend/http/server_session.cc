#include "cassiabend/http/server_session.h"

#include <utility>

#include "cassiabend/http/headers.h"
#include "cassiabend/http/message_writer.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
namespace {

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
      return "the request header exceeds the configured limit";
    case ParseError::kBodyTooLarge:
      return "the request body exceeds the configured limit";
    default:
      return "the message is not well-formed HTTP/1.1";
  }
}

}  // namespace

ServerSession::ServerSession(Connection::Socket socket,
                             TimeoutList* timeouts,
                             const SessionOptions& options,
                             RefPtr<BufferedBytes> buffered_bytes,
                             BulkPacer* pacer,
                             SessionHandler* handler)
    : options_(options),
      buffered_bytes_(std::move(buffered_bytes)),
      pacer_(pacer),
      handler_(handler),
      connection_(new Connection(std::move(socket),
                                 timeouts,
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

void ServerSession::SetOptions(const SessionOptions& options) {
  options_ = options;
  connection_->SetLimits(options.limits);
  if (exchanges_.empty() && reading_ == Reading::kNothing) {
    connection_->SetTimeout(options_.idle_timeout);
  }
}

void ServerSession::OnMessageStart() {
  reading_ = is_ending_ ? Reading::kIgnored : Reading::kRequest;
  SetReadTimeout(options_.header_timeout);
}

/// \brief Sets the timeout within which more of a request must arrive. While
/// earlier requests wait for answers, their deadlines apply instead.
void ServerSession::SetReadTimeout(Milliseconds timeout) {
  if (exchanges_.empty()) {
    connection_->SetTimeout(timeout);
  }
}

void ServerSession::OnHead(MessageHead& head) {
  if (reading_ != Reading::kRequest) {
    return;
  }
  is_head_request_ = head.method == "HEAD";
  is_http_1_0_ = head.is_http_1_0;
  keep_alive_ = keep_alive_ && head.keep_alive && !head.is_http_1_0;
  wants_continue_ = head.expects_continue;
  const std::uint64_t body_bytes = head.content_length.value_or(0);
  request_ = new BufferedRequest(buffered_bytes_);
  request_->SetHead(std::move(head));
  SetReadTimeout(options_.progress_timeout);
  if (!HasRoomFor(body_bytes)) {
    Refuse(NotRunHead(NotRunReason::kOverloaded, Seconds(1)),
           "the node's limit of buffered bytes is reached");
    return;
  }
  SendContinueIfDue();
}

/// \brief Sends "100 Continue" to a peer that waits for it, once no earlier
/// answer is outstanding: interim answers also leave in order.
void ServerSession::SendContinueIfDue() {
  if (!wants_continue_ || !exchanges_.empty()) {
    return;
  }
  wants_continue_ = false;
  connection_->output()->append(ContinueResponse());
  connection_->Flush();
}

void ServerSession::OnBody(std::string_view bytes) {
  if (reading_ != Reading::kRequest) {
    return;
  }
  SetReadTimeout(options_.progress_timeout);
  request_->AppendBody(bytes);
  if (!HasRoomFor(0)) {
    Refuse(NotRunHead(NotRunReason::kOverloaded, Seconds(1)),
           "the node's limit of buffered bytes is reached");
  }
}

void ServerSession::OnMessageEnd() {
  if (reading_ != Reading::kRequest) {
    return;
  }
  const RefPtr<ServerSession> keep(this);
  reading_ = Reading::kNothing;
  wants_continue_ = false;
  const RefPtr<ServerExchange> exchange = AddExchange();
  handler_->OnRequest(*this, *exchange, std::move(request_));
  if (IsOpen()) {
    ReadNextMessage();
  }
}

RefPtr<ServerExchange> ServerSession::AddExchange() {
  RefPtr<ServerExchange> exchange(
      new ServerExchange(this, is_head_request_, is_http_1_0_));
  exchanges_.push_back(exchange);
  if (exchanges_.size() == 1) {
    connection_->ClearTimeout();
    exchange->StartTurn();
  }
  return exchange;
}

/// \brief Reads the next message, if there may be one and fewer than
/// `max_pipelined` exchanges are open.
void ServerSession::ReadNextMessage() {
  is_full_ = exchanges_.size() >= options_.max_pipelined;
  if (!is_full_ && (keep_alive_ || exchanges_.empty())) {
    connection_->NextMessage(false);
  }
}

bool ServerSession::HasRoomFor(std::uint64_t more) const noexcept {
  return buffered_bytes_->total + more <= options_.max_held_bytes;
}

void ServerSession::OnEnd(ConnectionEnd end) {
  const RefPtr<ServerSession> keep(this);
  if (end == ConnectionEnd::kBadMessage) {
    connection_->set_listener(this);
    if (!is_ending_) {
      RefuseMessage(connection_->parse_error());
    }
    return;
  }
  EndExchanges(nullptr);
  EndSession();
}

void ServerSession::RefuseMessage(ParseError error) {
  Refuse(RefusalHead(StatusOf(error)), DetailOf(error));
}

/// \brief Answers a message that did not become a request, after the earlier
/// answers, and closes.
void ServerSession::Refuse(MessageHead head, std::string_view body) {
  const RefPtr<ServerSession> keep(this);
  handler_->OnMessageRefused();
  if (options_.accepts_peers && request_ != nullptr &&
      request_->head().Has(kAttemptHeader)) {
    head.Add(kAttemptHeader, request_->head().Get(kAttemptHeader));
  }
  request_ = nullptr;
  reading_ = Reading::kIgnored;
  wants_continue_ = false;
  keep_alive_ = false;
  is_head_request_ = false;
  const RefPtr<ServerExchange> exchange = AddExchange();
  const std::string text =
      ExplanationBody(kOutcomeNotRun, head.Get(kReasonHeader), body);
  exchange->Reply(std::move(head), text);
}

bool ServerSession::MarkEndingIfLast(const ServerExchange& exchange) noexcept {
  is_ending_ = !keep_alive_ && exchanges_.back().get() == &exchange &&
               reading_ != Reading::kRequest;
  return is_ending_;
}

void ServerSession::CutAnswer() {
  const RefPtr<ServerSession> keep(this);
  connection_->Close();
  EndExchanges(nullptr);
  EndSession();
}

void ServerSession::Abort(const ServerExchange* aborter) {
  const RefPtr<ServerSession> keep(this);
  connection_->Close();
  EndExchanges(aborter);
  EndSession();
}

/// \brief Ends all exchanges and tells the handler, except of `aborter`.
void ServerSession::EndExchanges(const ServerExchange* aborter) {
  const auto exchanges = std::exchange(exchanges_, {});
  for (const RefPtr<ServerExchange>& it : exchanges) {
    const bool has_begun = it->state_ != ServerExchange::State::kWaiting;
    it->End();
    if (it.get() == aborter) {
      continue;
    }
    if (has_begun) {
      handler_->OnAnswerEnd(*it, false);
    } else {
      handler_->OnPeerClosed(*it);
    }
  }
}

void ServerSession::OnDrained() {
  if (exchanges_.empty()) {
    return;
  }
  const RefPtr<ServerSession> keep(this);
  const RefPtr<ServerExchange> front = exchanges_.front();
  if (front->state_ == ServerExchange::State::kAnswering) {
    RestartSendTimeout();
    front->Pump();
  } else if (front->state_ == ServerExchange::State::kFinishing) {
    FinishFrontExchange();
  }
}

void ServerSession::FinishFrontExchange() {
  const RefPtr<ServerExchange> front = std::move(exchanges_.front());
  exchanges_.pop_front();
  const bool closes = front->says_close_;
  front->End();
  handler_->OnAnswerEnd(*front, true);
  if (!IsOpen()) {
    return;
  }
  if (closes) {
    connection_->CloseAfterWrite();
    EndSession();
    return;
  }
  StartNextTurn();
}

void ServerSession::StartNextTurn() {
  if (!exchanges_.empty()) {
    const RefPtr<ServerExchange> next = exchanges_.front();
    connection_->ClearTimeout();
    if (!next->HasAnswer()) {
      handler_->OnTurn(*next);
    }
    next->StartTurn();
  } else if (reading_ == Reading::kRequest) {
    SetReadTimeout(options_.header_timeout);
    SendContinueIfDue();
  } else {
    connection_->SetTimeout(options_.idle_timeout);
  }
  if (IsOpen() && is_full_) {
    ReadNextMessage();
  }
}

void ServerSession::EndSession() {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  request_ = nullptr;
  handler_->OnSessionEnd(*this);
}

void ServerSession::Close() noexcept {
  is_closed_ = true;
  connection_->Close();
  for (const RefPtr<ServerExchange>& it : exchanges_) {
    it->End();
  }
  exchanges_.clear();
}

}  // namespace cassiabend
