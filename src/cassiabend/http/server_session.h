#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/base/time.h"
#include "cassiabend/http/bulk_pacer.h"
#include "cassiabend/http/connection.h"
#include "cassiabend/http/message.h"
#include "cassiabend/http/server_exchange.h"

namespace cassiabend {

class ServerSession;

/// \brief Takes the requests of incoming connections.
class SessionHandler {
 public:
  SessionHandler() = default;
  SessionHandler(const SessionHandler&) = delete;
  SessionHandler& operator=(const SessionHandler&) = delete;
  virtual ~SessionHandler() = default;

  /// \brief A request arrived, whole; `Reply` or `Relay` answers it.
  virtual void OnRequest(ServerSession& session,
                         ServerExchange& exchange,
                         RefPtr<HeldRequest> request) = 0;
  /// \brief All earlier requests of the connection are answered, and this one,
  /// which arrived before that, is not.
  virtual void OnTurn(ServerExchange& /*exchange*/) {}
  /// \brief The answer handed to `Relay` broke off before any of it left;
  /// `Reply` answers in its place.
  virtual void OnAnswerBroken(ServerExchange& exchange) = 0;
  /// \brief The answer was handed over, whole or cut.
  virtual void OnAnswerEnd(ServerExchange& exchange, bool complete) = 0;
  /// \brief The connection closed before an answer to the request began.
  virtual void OnPeerGone(ServerExchange& exchange) = 0;
  /// \brief A message was refused before it became a request.
  virtual void OnRefused() = 0;
  /// \brief The connection is closed.
  virtual void OnSessionEnd(ServerSession& session) = 0;
};

/// \brief Limits of incoming connections.
struct SessionOptions {
  ParseLimits limits;
  Milliseconds progress_timeout{2'000};
  Milliseconds idle_timeout{30'000};
  std::uint64_t max_held_bytes = std::uint64_t{64} * 1024 * 1024;
  /// Longest time from a request's first byte to the end of its head.
  Milliseconds header_timeout{2'000};
  /// Requests of one connection that are read before the first is answered.
  std::uint32_t max_pipelined = 1;
  /// Whether relayed answers carry `kOutcomeHeader`.
  bool states_outcome = true;
  /// Whether other nodes may use the connection.
  bool takes_peers = true;
};

/// \brief One incoming connection: reads requests whole, hands on up to
/// `max_pipelined` of them side by side, and writes their answers in order.
///
/// What ends the connection takes effect behind the requests that were read:
/// they are answered, and the last of their answers says that it closes. Only
/// a cut answer or the other end's close ends them before.
class ServerSession final : public RefCounted<ServerSession>,
                            private ConnectionListener {
 public:
  ServerSession(Connection::Socket socket,
                TickList* ticks,
                const SessionOptions& options,
                RefPtr<HeldBytes> held_bytes,
                BulkPacer* pacer,
                SessionHandler* handler);
  ~ServerSession() override;

  [[nodiscard]] bool takes_peers() const noexcept {
    return options_.takes_peers;
  }

  void Start();
  /// \brief Ends the connection after the requests that were read, or after
  /// the next one when there is none: its sender may have sent it already.
  void EndAfterRequest() noexcept { keep_alive_ = false; }
  /// \brief Closes at once; the handler hears nothing more.
  void Close() noexcept;

 private:
  friend class ServerExchange;

  /// \brief What is read from the connection.
  enum class Reading : std::uint8_t {
    kNothing,
    kRequest,
    /// The rest of a message that was refused, or bytes behind the last
    /// request.
    kRest,
  };

  void OnMessageStart() override;
  void OnHead(MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;
  void OnDrained() override;
  void OnEnd(ConnectionEnd end) override;

  // For the exchanges.
  [[nodiscard]] std::string* output() noexcept { return connection_->output(); }
  [[nodiscard]] std::size_t unwritten() const noexcept {
    return connection_->unwritten();
  }
  [[nodiscard]] BulkPacer* pacer() const noexcept { return pacer_; }
  [[nodiscard]] bool states_outcome() const noexcept {
    return options_.states_outcome;
  }
  /// \returns Whether the connection ends with the answer that begins now. If
  /// so nothing more is read.
  [[nodiscard]] bool EndsWith(const ServerExchange& exchange) noexcept;
  void ExpectProgress() { connection_->SetTimeout(options_.idle_timeout); }
  void Flush() { connection_->Flush(); }
  void ReportBroken(ServerExchange& exchange) {
    handler_->OnAnswerBroken(exchange);
  }
  /// \brief Closes within an answer, so that the other end sees it cut.
  void Cut();
  /// \brief Closes at once, for reasons that `aborter` knows.
  void Abort(const ServerExchange* aborter);

  [[nodiscard]] bool MayHold(std::uint64_t more) const noexcept;
  [[nodiscard]] bool IsOpen() const noexcept { return !is_closed_; }
  void RefuseMessage(ParseError error);
  void Refuse(const MessageHead& head, std::string_view body);
  [[nodiscard]] RefPtr<ServerExchange> AddExchange();
  void LimitReading(Milliseconds timeout);
  void MaySendContinue();
  void ReadOn();
  void FinishFront();
  void TurnToNext();
  void EndExchanges(const ServerExchange* aborter);
  void EndSession();

  SessionOptions options_;
  RefPtr<HeldBytes> held_bytes_;
  BulkPacer* pacer_;
  SessionHandler* handler_;
  RefPtr<Connection> connection_;
  /// The request being read.
  RefPtr<HeldRequest> request_;
  /// Requests that were read and not yet answered whole, the oldest first.
  std::deque<RefPtr<ServerExchange>> exchanges_;
  Reading reading_ = Reading::kNothing;
  bool is_head_request_ = false;
  bool is_http_1_0_ = false;
  /// Whether the sender of the request being read waits to be told to go on.
  bool wants_continue_ = false;
  /// Whether the connection may take another request.
  bool keep_alive_ = true;
  /// Whether the last request was read: what follows counts as not read.
  bool is_ending_ = false;
  /// Whether the next message waits for room among the exchanges.
  bool is_full_ = false;
  bool is_closed_ = false;
};

}  // namespace cassiabend
