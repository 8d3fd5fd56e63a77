#include "cassiabend/http/client_exchange.h"

#include <exception>
#include <utility>

#include "cassiabend/base/http_status.h"
#include "cassiabend/base/log.h"
#include "cassiabend/http/header_text.h"
#include "cassiabend/http/message_writer.h"

namespace cassiabend {
namespace {

/// \returns The idle time that a "Keep-Alive" header states.
std::optional<Milliseconds> KeepAliveTimeoutOf(const MessageHead& head) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view text = head.Get("Keep-Alive");
  const std::size_t begin = text.find(kTimeout);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = text.substr(begin + kTimeout.size());
  const auto seconds =
      ParseNumber<std::uint32_t>(rest.substr(0, rest.find_first_of(", ;")));
  return seconds ? std::optional<Milliseconds>(Seconds(*seconds))
                 : std::nullopt;
}

ExchangeFailure FailureOf(ConnectionEnd end, bool may_have_sent) noexcept {
  if (!may_have_sent) {
    return ExchangeFailure::kNeverSent;
  }
  return end == ConnectionEnd::kTimeout ? ExchangeFailure::kTimedOut
                                        : ExchangeFailure::kBroken;
}

}  // namespace

ClientExchange::ClientExchange(ConnectionPool* pool,
                               const ConnectionPool::Endpoint& endpoint,
                               ExchangeListener* listener)
    : pool_(pool), endpoint_(endpoint), listener_(listener) {}

void ClientExchange::Start(ExchangeRequest request) {
  const RefPtr<ClientExchange> keep(this);
  request_ = std::move(request);
  self_ = this;
  try {
    Open(request_.may_reuse);
  } catch (const std::exception& e) {
    const bool may_have_sent =
        connection_ != nullptr && connection_->MayHaveSent();
    Log(LogLevel::kError, "request_failed", {{"why", e.what()}});
    Fail(FailureOf(ConnectionEnd::kBroken, may_have_sent));
  }
}

/// \brief Closes the connection and reports the failure.
void ClientExchange::Fail(ExchangeFailure failure) {
  ExchangeListener* listener = std::exchange(listener_, nullptr);
  Cancel();
  if (listener != nullptr) {
    listener->OnExchangeFailed(failure);
  }
}

void ClientExchange::Open(bool may_reuse) {
  connection_ =
      may_reuse ? pool_->AcquireIdle(endpoint_, request_.id) : nullptr;
  is_reused_ = connection_ != nullptr;
  if (is_reused_) {
    connection_->set_listener(this);
    Send();
    return;
  }
  connection_ = pool_->Connect(endpoint_, this);
}

void ClientExchange::OnConnected() {
  Send();
}

void ClientExchange::Send() {
  connection_->NextMessage(request_.head.method == "HEAD");
  std::string* out = connection_->output();
  const std::string_view body = request_.body_source == nullptr
                                    ? std::string_view()
                                    : request_.body_source->body();
  const std::size_t before = out->size();
  AppendRequestHead(request_.head, body.size(), out);
  listener_->OnRequestSent(out->size() - before + body.size());
  connection_->SetTimeout(request_.head_timeout);
  if (request_.body_pacer != nullptr && !body.empty()) {
    body_sender_ = std::make_unique<BodySender>(
        request_.body_pacer, request_.body_source, connection_);
    body_sender_->Pump();
    return;
  }
  out->append(body);
  connection_->Flush();
}

void ClientExchange::OnWriteProgress() {
  if (!has_head_) {
    connection_->SetTimeout(request_.head_timeout);
  }
}

void ClientExchange::OnDrained() {
  OnWriteProgress();
  if (body_sender_ != nullptr && !body_sender_->is_done()) {
    body_sender_->Pump();
  }
}

void ClientExchange::OnHead(MessageHead& head) {
  skips_response_ = !IsFinalHttpStatus(head.status);
  if (skips_response_) {
    if (request_.interim_is_progress) {
      connection_->SetTimeout(request_.head_timeout);
    }
    return;
  }
  const RefPtr<ClientExchange> keep(this);
  const ResponseMatch match = listener_->MatchResponse(head);
  if (match == ResponseMatch::kOther) {
    skips_response_ = true;
    has_skipped_ = true;
    return;
  }
  const bool is_first = !is_reused_ && !has_skipped_;
  if (match == ResponseMatch::kInvalid ||
      (match == ResponseMatch::kUnstated && !is_first)) {
    Log(LogLevel::kWarning, "response_rejected",
        {{"status", head.status},
         {"names_request", match != ResponseMatch::kUnstated},
         {"reused_connection", is_reused_}});
    Fail(ExchangeFailure::kBroken);
    return;
  }
  has_head_ = true;
  keep_alive_ = head.keep_alive && !has_skipped_;
  idle_limit_ = KeepAliveTimeoutOf(head);
  connection_->SetTimeout(request_.body_timeout);
  listener_->OnResponseHead(head);
}

void ClientExchange::MarkRefused() {
  connection_->AddRefused(request_.id);
}

void ClientExchange::OnBody(std::string_view bytes) {
  if (listener_ == nullptr || skips_response_) {
    return;
  }
  connection_->SetTimeout(request_.body_timeout);
  listener_->OnResponseBody(bytes);
}

void ClientExchange::OnMessageEnd() {
  if (listener_ == nullptr) {
    return;
  }
  if (skips_response_) {
    connection_->NextMessage(request_.head.method == "HEAD");
    return;
  }
  Finish();
}

void ClientExchange::Finish() {
  const RefPtr<ClientExchange> keep = std::move(self_);
  const RefPtr<Connection> connection = std::move(connection_);
  ExchangeListener* listener = std::exchange(listener_, nullptr);
  connection->set_listener(nullptr);
  connection->ClearTimeout();
  const bool is_sent = body_sender_ == nullptr || body_sender_->is_done();
  body_sender_ = nullptr;
  if (keep_alive_ && is_sent && request_.may_pool &&
      connection->unwritten() == 0) {
    connection->ResumeReading();
    connection->NextMessage(false);
    if (!connection->HasInput()) {
      pool_->AddIdle(endpoint_, connection, idle_limit_);
    } else {
      connection->Close();
    }
  } else {
    connection->Close();
  }
  listener->OnResponseEnd();
}

void ClientExchange::OnEnd(ConnectionEnd end) {
  const RefPtr<ClientExchange> keep(this);
  const RefPtr<Connection> connection = std::move(connection_);
  body_sender_ = nullptr;
  const bool may_have_sent = connection->MayHaveSent();
  connection->Close();
  const bool has_closed =
      end == ConnectionEnd::kClosed || end == ConnectionEnd::kBroken;
  const bool was_reset = is_reused_ && may_have_sent && has_closed &&
                         !has_head_ && !connection->HasInput();
  if (was_reset) {
    pool_->HandleIdleReset(endpoint_);
  }
  const bool resends =
      is_reused_ && (!may_have_sent || (was_reset && request_.may_resend));
  if (resends && listener_ != nullptr) {
    Open(false);
    return;
  }
  self_ = nullptr;
  if (end == ConnectionEnd::kTimeout) {
    pool_->CloseIdle(endpoint_);
  }
  ExchangeListener* listener = std::exchange(listener_, nullptr);
  if (listener != nullptr) {
    listener->OnExchangeFailed(FailureOf(end, may_have_sent));
  }
}

void ClientExchange::Pause() noexcept {
  if (connection_ != nullptr) {
    connection_->PauseReading();
    connection_->ClearTimeout();
  }
}

void ClientExchange::Resume() {
  if (connection_ != nullptr) {
    connection_->SetTimeout(request_.body_timeout);
    connection_->ResumeReading();
  }
}

void ClientExchange::Cancel() noexcept {
  const RefPtr<ClientExchange> keep = std::move(self_);
  listener_ = nullptr;
  body_sender_ = nullptr;
  if (connection_ != nullptr) {
    connection_->Close();
    connection_ = nullptr;
  }
}

}  // namespace cassiabend
