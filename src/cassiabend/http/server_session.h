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

/// \brief Handles the requests of incoming connections.
class SessionHandler {
 public:
  SessionHandler() = default;
  SessionHandler(const SessionHandler&) = delete;
  SessionHandler& operator=(const SessionHandler&) = delete;
  virtual ~SessionHandler() = default;

  /// \brief A complete request arrived. `Reply` or `Relay` of `exchange`
  /// answers it, at any time.
  virtual void OnRequest(ServerSession& session,
                         ServerExchange& exchange,
                         RefPtr<BufferedRequest> request) = 0;
  /// \brief All earlier requests of the connection are answered, so that the
  /// answer to this one could be sent, but there is none yet.
  virtual void OnTurn(ServerExchange& /*exchange*/) {}
  /// \brief The relayed answer ended incomplete before any of it was sent; the
  /// handler calls `Reply` or `Abort`.
  virtual void OnAnswerBroken(ServerExchange& exchange) = 0;
  /// \brief The answer has ended.
  /// \param complete Whether all of it was written to the connection.
  virtual void OnAnswerEnd(ServerExchange& exchange, bool complete) = 0;
  /// \brief The connection closed before an answer to the request began.
  virtual void OnPeerClosed(ServerExchange& exchange) = 0;
  /// \brief A message was refused before it became a request: it was malformed
  /// or exceeded a limit.
  virtual void OnMessageRefused() = 0;
  /// \brief The connection is closed.
  virtual void OnSessionEnd(ServerSession& session) = 0;
};

/// \brief Limits of incoming connections.
struct SessionOptions {
  ParseLimits limits;
  /// Longest pause between bytes of a request after its head.
  Milliseconds progress_timeout{2'000};
  /// Longest time without a request, or without progress of an answer.
  Milliseconds idle_timeout{30'000};
  /// Buffered bytes of all connections above which requests are refused.
  std::uint64_t max_held_bytes = std::uint64_t{64} * 1024 * 1024;
  /// Longest time from a request's first byte to the end of its head.
  Milliseconds header_timeout{2'000};
  /// Requests of one connection that are read before the first is answered.
  std::uint32_t max_pipelined = 1;
  /// Whether relayed answers carry `kOutcomeHeader`.
  bool adds_outcome_header = true;
  /// Whether other nodes may send requests over the connection.
  bool accepts_peers = true;
};

/// \brief One incoming connection: reads complete requests, passes up to
/// `max_pipelined` of them to the handler concurrently, and writes their
/// answers in the order of the requests.
///
/// When the connection is to end, the requests that were read are still
/// answered, and the last of their answers says "Connection: close". Only a cut
/// answer or a close by the peer ends them earlier.
class ServerSession final : public RefCounted<ServerSession>,
                            private ConnectionListener {
 public:
  ServerSession(Connection::Socket socket,
                TimeoutList* timeouts,
                const SessionOptions& options,
                RefPtr<BufferedBytes> buffered_bytes,
                BulkPacer* pacer,
                SessionHandler* handler);
  ~ServerSession() override;

  [[nodiscard]] bool accepts_peers() const noexcept {
    return options_.accepts_peers;
  }

  void Start();
  /// \brief Sets the limits of the requests that have not begun to arrive.
  void SetOptions(const SessionOptions& options);
  /// \brief Ends the connection after the requests that were read. Without any,
  /// the next one is still answered, as the peer may have sent it already.
  void EndAfterRequest() noexcept { keep_alive_ = false; }
  /// \brief Closes at once, without further calls of the handler.
  void Close() noexcept;

 private:
  friend class ServerExchange;

  /// \brief What the bytes that arrive belong to.
  enum class Reading : std::uint8_t {
    kNothing,
    kRequest,
    /// The rest of a refused message, or bytes after the last request; ignored.
    kIgnored,
  };

  void OnMessageStart() override;
  void OnHead(MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;
  void OnDrained() override;
  void OnEnd(ConnectionEnd end) override;

  // Used by the exchanges.
  [[nodiscard]] std::string* output() noexcept { return connection_->output(); }
  [[nodiscard]] std::size_t unwritten() const noexcept {
    return connection_->unwritten();
  }
  [[nodiscard]] BulkPacer* pacer() const noexcept { return pacer_; }
  [[nodiscard]] bool adds_outcome_header() const noexcept {
    return options_.adds_outcome_header;
  }
  /// \brief Marks the session as ending if the answer of `exchange`, which
  /// begins now, is the connection's last; what arrives then is ignored.
  /// \returns Whether it is the last.
  [[nodiscard]] bool MarkEndingIfLast(const ServerExchange& exchange) noexcept;
  void RestartSendTimeout() { connection_->SetTimeout(options_.idle_timeout); }
  void Flush() { connection_->Flush(); }
  void ReportBrokenAnswer(ServerExchange& exchange) {
    handler_->OnAnswerBroken(exchange);
  }
  /// \brief Closes within an answer, by which the peer sees that it is cut.
  void CutAnswer();
  /// \brief Closes at once; the handler is not called for `aborter`, whose
  /// owner asked for the close.
  void Abort(const ServerExchange* aborter);

  [[nodiscard]] bool HasRoomFor(std::uint64_t more) const noexcept;
  [[nodiscard]] bool IsOpen() const noexcept { return !is_closed_; }
  void RefuseMessage(ParseError error);
  void Refuse(MessageHead head, std::string_view body);
  [[nodiscard]] RefPtr<ServerExchange> AddExchange();
  void SetReadTimeout(Milliseconds timeout);
  void SendContinueIfDue();
  void ReadNextMessage();
  void FinishFrontExchange();
  void StartNextTurn();
  void EndExchanges(const ServerExchange* aborter);
  void EndSession();

  SessionOptions options_;
  RefPtr<BufferedBytes> buffered_bytes_;
  BulkPacer* pacer_;
  SessionHandler* handler_;
  RefPtr<Connection> connection_;
  /// The request being read.
  RefPtr<BufferedRequest> request_;
  /// Requests that were read and whose answers have not ended, oldest first.
  std::deque<RefPtr<ServerExchange>> exchanges_;
  Reading reading_ = Reading::kNothing;
  bool is_head_request_ = false;
  bool is_http_1_0_ = false;
  /// Whether the sender of the request being read waits for "100 Continue".
  bool wants_continue_ = false;
  /// Whether the connection may carry another request.
  bool keep_alive_ = true;
  /// Whether the last request was read; what follows is ignored.
  bool is_ending_ = false;
  /// Whether reading waits until fewer than `max_pipelined` exchanges are open.
  bool is_full_ = false;
  bool is_closed_ = false;
};

}  // namespace cassiabend
