#pragma once

#include <cstdint>
#include <string_view>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/base/time.h"
#include "cassiabend/http/answer_stream.h"
#include "cassiabend/http/connection.h"
#include "cassiabend/http/message.h"

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
                         RefPtr<HeldRequest> request) = 0;
  /// \brief The answer was handed over, whole or cut.
  virtual void OnAnswerEnd(ServerSession& session, bool complete) = 0;
  /// \brief The other end closed while its request was waiting for an answer.
  virtual void OnPeerGone(ServerSession& session) = 0;
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
  /// Whether relayed answers carry `kOutcomeHeader`.
  bool states_outcome = true;
  /// Whether other nodes may use the connection.
  bool takes_peers = true;
};

/// \brief One incoming connection: reads requests whole, one at a time, and
/// writes their answers.
class ServerSession final : public RefCounted<ServerSession>,
                            private ConnectionListener,
                            private AnswerReader {
 public:
  ServerSession(Connection::Socket socket,
                TickList* ticks,
                const SessionOptions& options,
                RefPtr<HeldBytes> held_bytes,
                SessionHandler* handler);
  ~ServerSession() override;

  [[nodiscard]] bool takes_peers() const noexcept {
    return options_.takes_peers;
  }
  /// \brief Number that the handler gave to the request being answered.
  [[nodiscard]] std::uint64_t exchange() const noexcept { return exchange_; }
  void set_exchange(std::uint64_t exchange) noexcept { exchange_ = exchange; }

  /// \brief Bytes of the body that were relayed for the newest request.
  [[nodiscard]] std::uint64_t relayed_bytes() const noexcept {
    return position_;
  }

  void Start();
  /// \brief Answers with a short message of the system's own. An answer that
  /// has already begun is cut instead.
  void Reply(MessageHead head, std::string_view body);
  /// \brief Answers with what arrives on `answer`, once it has begun.
  /// \param times For another node: value of `kTimesHeader`; empty for none.
  void Relay(RefPtr<AnswerStream> answer, std::string times = {});
  /// \brief Ends the connection after the request in progress, or the next one
  /// when there is none: its sender may have sent it already.
  void EndAfterRequest() noexcept { keep_alive_ = false; }
  /// \brief Closes at once, with a request or answer in progress.
  void Abort();
  /// \brief Closes at once; the handler hears nothing more.
  void Close() noexcept;

 private:
  enum class State : std::uint8_t {
    kIdle,
    kReading,
    kWaiting,
    kAnswering,
    /// All of the answer was handed to the connection.
    kFinishing,
    kClosed,
  };

  void OnMessageStart() override;
  void OnHead(MessageHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;
  void OnDrained() override;
  void OnEnd(ConnectionEnd end) override;
  void OnAnswer() override;

  [[nodiscard]] bool MayHold(std::uint64_t more) const noexcept;
  void RefuseMessage(ParseError error);
  void Refuse(const MessageHead& head, std::string_view body);
  void SendAnswerHead();
  void PumpBody();
  void FinishAnswer();
  void CutAnswer();
  void StartNext();
  void DetachAnswer() noexcept;
  void EndSession();

  SessionOptions options_;
  RefPtr<HeldBytes> held_bytes_;
  SessionHandler* handler_;
  RefPtr<Connection> connection_;
  RefPtr<HeldRequest> request_;
  RefPtr<AnswerStream> answer_;
  std::string times_;
  std::uint64_t position_ = 0;
  std::uint64_t exchange_ = 0;
  BodyFraming framing_ = BodyFraming::kNone;
  State state_ = State::kIdle;
  bool is_head_request_ = false;
  bool is_http_1_0_ = false;
  /// Whether the connection may take another request.
  bool keep_alive_ = true;
  /// Whether the answer said that the connection ends with it. One that did
  /// not say so stays open: its other end may send the next request at once.
  bool says_close_ = false;
  bool is_pumping_ = false;
};

}  // namespace cassiabend
