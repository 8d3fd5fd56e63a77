#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/base/time.h"
#include "cassiabend/http/answer_stream.h"
#include "cassiabend/http/bulk_pacer.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

class ServerSession;

/// \brief What an answer needs next.
enum class AnswerNeed : std::uint8_t {
  /// More of it from its source.
  kSource,
  /// Its turn on this host's link.
  kLink,
  /// The other end, to take what was sent.
  kReceiver,
};

/// \brief How far an answer is.
struct AnswerProgress {
  /// Bytes of the body that have left, and that have arrived.
  std::uint64_t sent = 0;
  std::uint64_t arrived = 0;
  /// Bytes of the whole body; 0 where it is not known.
  std::uint64_t size = 0;
  AnswerNeed needs = AnswerNeed::kSource;
};

/// \brief One request of an incoming connection and its answer. Answers leave
/// in the order of the requests: one that is ready before its turn waits here,
/// a relayed one in its stream, whose limits hold back the upstream.
class ServerExchange final : public RefCounted<ServerExchange>,
                             private AnswerReader,
                             private BulkPacer::Waiter {
 public:
  ServerExchange(ServerSession* session,
                 bool is_head_request,
                 bool is_http_1_0) noexcept
      : session_(session),
        is_head_request_(is_head_request),
        is_http_1_0_(is_http_1_0) {}

  /// \brief Number that the handler gave to the request.
  [[nodiscard]] std::uint64_t id() const noexcept { return id_; }
  void set_id(std::uint64_t id) noexcept { id_ = id; }

  /// \brief Whether all earlier requests of the connection are answered.
  [[nodiscard]] bool has_turn() const noexcept { return has_turn_; }
  /// \brief Bytes of the answer's body that were relayed.
  [[nodiscard]] std::uint64_t relayed_bytes() const noexcept {
    return position_;
  }

  [[nodiscard]] AnswerProgress progress() const noexcept;
  /// \returns Of a large answer that has ended: the time that it took to leave;
  /// 0 for others.
  [[nodiscard]] Nanoseconds link_time() const noexcept { return link_time_; }

  /// \brief Answers with a short message of the system's own. An answer of
  /// which a part has left is cut instead.
  void Reply(MessageHead head, std::string_view body);
  /// \brief Answers with what arrives on `answer`, once it has begun.
  /// \param due When the other end should have the whole.
  /// \param times For another node: value of `kTimesHeader`; empty for none.
  void Relay(RefPtr<AnswerStream> answer,
             MonoTime due = MonoTime::max(),
             std::string times = {});
  /// \brief Shows the other end that the answer is still to come, unless
  /// earlier answers are.
  void SendInterim();
  /// \brief Closes the connection at once.
  void Abort();

 private:
  friend class ServerSession;

  enum class State : std::uint8_t {
    /// Nothing of the answer has left.
    kWaiting,
    kAnswering,
    /// All of the answer was handed to the connection.
    kFinishing,
    kEnded,
  };

  void OnAnswer() override;
  void OnTurn() override { Pump(); }

  /// \returns Whether `Reply` or `Relay` was called.
  [[nodiscard]] bool HasAnswer() const noexcept {
    return has_reply_ || answer_ != nullptr;
  }
  /// \brief All earlier requests are answered: the answer may leave.
  void TakeTurn();
  /// \brief Hands what there is of the answer to the connection.
  void Pump();
  void PumpAnswer();
  void PumpBody();
  void SettleExpected(std::uint64_t bytes) noexcept;
  void WriteReply();
  void WriteAnswerHead();
  void Finish();
  void DetachAnswer() noexcept;
  /// \brief The session has no more to do with this exchange.
  void End() noexcept;

  /// Null once the exchange has ended.
  ServerSession* session_;
  RefPtr<AnswerStream> answer_;
  std::string times_;
  /// The system's own answer, until it leaves.
  MessageHead reply_;
  std::string reply_body_;
  std::uint64_t id_ = 0;
  std::uint64_t position_ = 0;
  /// Bytes of a large answer that are still to be sent.
  std::uint64_t expected_ = 0;
  /// When the head of a large answer left.
  std::optional<MonoTime> began_at_;
  Nanoseconds link_time_{0};
  BodyFraming framing_ = BodyFraming::kNone;
  State state_ = State::kWaiting;
  bool is_head_request_;
  bool is_http_1_0_;
  bool has_turn_ = false;
  bool has_reply_ = false;
  bool is_pumping_ = false;
  /// Whether the answer said that the connection ends with it. One that did
  /// not say so stays open: its other end may send the next request at once.
  bool says_close_ = false;
};

}  // namespace cassiabend
