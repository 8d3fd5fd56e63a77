#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/base/time.h"
#include "cassiabend/http/body_sender.h"
#include "cassiabend/http/connection.h"
#include "cassiabend/http/connection_pool.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief Why an exchange failed.
enum class ExchangeFailure : std::uint8_t {
  /// No byte of the request left this host.
  kNeverSent,
  /// The connection broke, or the response is not valid HTTP.
  kBroken,
  /// A timeout passed without progress.
  kTimedOut,
};

/// \brief Receives the response to a request. `OnResponseEnd` or
/// `OnExchangeFailed` is the last call.
class ExchangeListener {
 public:
  ExchangeListener() = default;
  ExchangeListener(const ExchangeListener&) = delete;
  ExchangeListener& operator=(const ExchangeListener&) = delete;
  virtual ~ExchangeListener() = default;

  /// \returns Whether a response answers this request.
  [[nodiscard]] virtual ResponseMatch MatchResponse(
      const MessageHead& /*head*/) {
    return ResponseMatch::kOwn;
  }
  /// \brief The request was handed to a connection; called again if it is sent
  /// once more.
  virtual void OnRequestSent(std::uint64_t /*bytes*/) {}
  virtual void OnResponseHead(MessageHead& head) = 0;
  virtual void OnResponseBody(std::string_view bytes) = 0;
  virtual void OnResponseEnd() = 0;
  virtual void OnExchangeFailed(ExchangeFailure failure) = 0;
};

/// \brief A request and the timeouts of its response.
struct ExchangeRequest {
  MessageHead head;
  /// The request whose body is sent; null: no body.
  RefPtr<const BufferedRequest> body_source;
  /// Paces the body; null: it is sent at once.
  BulkPacer* body_pacer = nullptr;
  /// Longest time without progress until the head of the response.
  Milliseconds head_timeout{2'000};
  /// Longest pause within the response.
  Milliseconds body_timeout{2'000};
  /// Whether interim responses restart `head_timeout`.
  bool interim_is_progress = false;
  /// Whether it may be sent once more over a new connection when a pooled one
  /// is reset before the response begins. The first copy may have arrived.
  bool may_resend = false;
  /// Whether it may be sent over a pooled connection.
  bool may_reuse = true;
  /// Whether the connection may be pooled after the response.
  bool may_pool = true;
  /// Names the request, equal in all its attempts; empty: it is not repeated.
  std::string id;
};

/// \brief One request to another node or to the upstream, and its response.
///
/// The peer may send bytes that no request asked for: a copy of an earlier
/// response, at any time. So a response is taken only if it answers this
/// request beyond doubt: it names it, or it names none and the connection has
/// carried no other; and a connection on which a request was refused does not
/// carry that request again. Responses that name another request are skipped.
/// Any other ends the exchange as a broken connection does.
class ClientExchange final : public RefCounted<ClientExchange>,
                             private ConnectionListener {
 public:
  ClientExchange(ConnectionPool* pool,
                 const ConnectionPool::Endpoint& endpoint,
                 ExchangeListener* listener);

  void Start(ExchangeRequest request);
  /// \brief Notes that the response being read refuses the request.
  void MarkRefused();
  /// \brief Stops reading the response until `Resume`.
  void Pause() noexcept;
  void Resume();
  /// \brief Closes the connection; the listener is not called any more.
  void Cancel() noexcept;

 private:
  void OnConnected() override;
  void OnHead(MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;
  void OnWriteProgress() override;
  void OnDrained() override;
  void OnEnd(ConnectionEnd end) override;

  void Open(bool may_reuse);
  void Send();
  void Finish();
  void Fail(ExchangeFailure failure);

  ConnectionPool* pool_;
  ConnectionPool::Endpoint endpoint_;
  ExchangeListener* listener_;
  ExchangeRequest request_;
  /// Sends a paced body; null for others.
  std::unique_ptr<BodySender> body_sender_;
  RefPtr<Connection> connection_;
  /// Keeps this object alive until the exchange has ended.
  RefPtr<ClientExchange> self_;
  bool is_reused_ = false;
  /// Whether the response being read is skipped, as it is interim or belongs to
  /// an earlier request.
  bool skips_response_ = false;
  bool has_head_ = false;
  bool keep_alive_ = false;
  /// Whether a response to an earlier request came first.
  bool has_skipped_ = false;
  /// How long the server keeps the connection open while idle; unset when the
  /// response does not say.
  std::optional<Milliseconds> idle_limit_;
};

}  // namespace cassiabend
