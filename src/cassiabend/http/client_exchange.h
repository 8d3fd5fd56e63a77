#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/base/time.h"
#include "cassiabend/http/connection.h"
#include "cassiabend/http/message.h"
#include "cassiabend/http/outgoing_pool.h"

namespace cassiabend {

/// \brief How an exchange failed.
enum class ExchangeFailure : std::uint8_t {
  /// No byte of the request left this host.
  kNeverSent,
  /// The connection broke, or what came back is not HTTP.
  kBroken,
  /// Nothing moved for the timeout.
  kSilent,
};

/// \brief Takes the response to a request. After `OnResponseEnd` or
/// `OnExchangeFailed` no more calls come.
class ExchangeListener {
 public:
  ExchangeListener() = default;
  ExchangeListener(const ExchangeListener&) = delete;
  ExchangeListener& operator=(const ExchangeListener&) = delete;
  virtual ~ExchangeListener() = default;

  /// \returns Whether a response is to this request. Another one, left over on
  /// the connection, is skipped.
  [[nodiscard]] virtual bool IsOwnResponse(const MessageHead& /*head*/) {
    return true;
  }
  virtual void OnResponseHead(MessageHead& head) = 0;
  virtual void OnResponseBody(std::string_view bytes) = 0;
  virtual void OnResponseEnd() = 0;
  virtual void OnExchangeFailed(ExchangeFailure failure) = 0;
};

/// \brief What to send, and how long to wait.
struct ExchangeRequest {
  MessageHead head;
  /// Body; null for none.
  RefPtr<const HeldRequest> held;
  /// Longest wait for the head of the response.
  Milliseconds head_timeout{2'000};
  /// Longest pause within the response.
  Milliseconds body_timeout{2'000};
  /// Whether interim responses show that the final one is still to come.
  bool interim_is_progress = false;
  /// Whether it may be sent once more, over a new connection, when one of the
  /// pool is reset before an answer begins. Whether it arrived is not known.
  bool may_resend = false;
  /// Whether a connection of the pool may carry it.
  bool may_reuse = true;
};

/// \brief One request to another node or to the upstream, and its response.
class ClientExchange final : public RefCounted<ClientExchange>,
                             private ConnectionListener {
 public:
  ClientExchange(OutgoingPool* pool,
                 const OutgoingPool::Endpoint& endpoint,
                 ExchangeListener* listener);

  void Start(ExchangeRequest request);
  /// \brief Stops reading the response until `Resume`.
  void Pause() noexcept;
  void Resume();
  /// \brief Closes the connection; the listener hears nothing more.
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

  OutgoingPool* pool_;
  OutgoingPool::Endpoint endpoint_;
  ExchangeListener* listener_;
  ExchangeRequest request_;
  RefPtr<Connection> connection_;
  /// Keeps this object while its connection calls back.
  RefPtr<ClientExchange> self_;
  bool is_reused_ = false;
  /// Whether the response being read is interim or left over.
  bool is_interim_ = false;
  bool has_head_ = false;
  bool keep_alive_ = false;
  /// Whether a response to another request came first.
  bool has_skipped_ = false;
  /// How long the other end keeps the connection when it is idle; unset when it
  /// does not say.
  std::optional<Milliseconds> idle_limit_;
};

}  // namespace cassiabend
