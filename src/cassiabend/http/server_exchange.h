#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/base/time.h"
#include "cassiabend/http/answer_stream.h"
#include "cassiabend/http/bulk_pacer.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

class ServerSession;

/// \brief What the sending of an answer waits for.
enum class AnswerNeed : std::uint8_t {
  /// More bytes from its source.
  kSource,
  /// Its share of this host's network link.
  kLink,
  /// The receiver, which has not taken what was sent.
  kReceiver,
};

/// \brief How much of an answer has arrived and how much has been sent.
struct AnswerProgress {
  /// Bytes of the body that were sent.
  std::uint64_t sent = 0;
  /// Bytes of the body that have arrived from the source.
  std::uint64_t arrived = 0;
  /// Bytes of the whole body; 0: unknown.
  std::uint64_t size = 0;
  AnswerNeed needs = AnswerNeed::kSource;
};

/// \brief One request of an incoming connection and its answer. Answers are
/// sent in the order of the requests. An answer that is ready before its turn
/// waits here or, if it is relayed, in its stream, whose limits apply back
/// pressure to the source.
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

  /// \brief Id that the handler gave to the request.
  [[nodiscard]] std::uint64_t id() const noexcept { return id_; }
  void set_id(std::uint64_t id) noexcept { id_ = id; }

  /// \brief Whether all earlier requests of the connection are answered.
  [[nodiscard]] bool has_turn() const noexcept { return has_turn_; }
  /// \brief Bytes of the answer's body that were sent to the connection.
  [[nodiscard]] std::uint64_t relayed_bytes() const noexcept {
    return position_;
  }

  [[nodiscard]] AnswerProgress progress() const noexcept;
  /// \returns For a large answer that has ended, the time from its head to its
  /// end; 0 for others.
  [[nodiscard]] Nanoseconds link_time() const noexcept { return link_time_; }

  /// \brief Answers with a short message from this node. If part of another
  /// answer was sent already, that one is cut instead.
  void Reply(MessageHead head, std::string_view body);
  /// \brief Answers with what arrives on `answer`.
  /// \param due When the receiver should have all of it.
  /// \param more Headers to add for another node.
  void Relay(RefPtr<AnswerStream> answer,
             MonoTime due = MonoTime::max(),
             std::vector<HeaderField> more = {});
  /// \brief Sends "102 Processing" to show that the answer is still to come.
  /// Does nothing while earlier answers are outstanding or once this one has
  /// begun.
  void SendInterim();
  /// \brief Closes the connection at once.
  void Abort();

 private:
  friend class ServerSession;

  enum class State : std::uint8_t {
    /// Nothing of the answer was sent.
    kWaiting,
    kAnswering,
    /// All of the answer is in the connection's output.
    kFinishing,
    kEnded,
  };

  void OnAnswerUpdate() override;
  void OnSendAllowed() override { Pump(); }

  /// \returns Whether `Reply` or `Relay` was called.
  [[nodiscard]] bool HasAnswer() const noexcept {
    return has_reply_ || answer_ != nullptr;
  }
  /// \brief All earlier requests are answered: the answer may be sent.
  void StartTurn();
  /// \brief Writes what has arrived of the answer to the connection, as far as
  /// its output and the network link have room.
  void Pump();
  void PumpAnswer();
  void PumpBody();
  void RemovePendingBytes(std::uint64_t bytes) noexcept;
  void WriteReply();
  void WriteAnswerHead();
  void Finish();
  void DetachAnswer() noexcept;
  /// \brief Detaches the exchange from its session.
  void End() noexcept;

  /// Null once the exchange has ended.
  ServerSession* session_;
  RefPtr<AnswerStream> answer_;
  /// Headers that are added to the relayed answer.
  std::vector<HeaderField> added_headers_;
  /// Answer from this node that is not sent yet.
  MessageHead reply_;
  std::string reply_body_;
  std::uint64_t id_ = 0;
  /// Offset in the answer's body of the next byte to send.
  std::uint64_t position_ = 0;
  /// Bytes of a large answer that are still to be sent.
  std::uint64_t pending_bytes_ = 0;
  /// When the head of a large answer was sent.
  std::optional<MonoTime> began_at_;
  Nanoseconds link_time_{0};
  BodyFraming framing_ = BodyFraming::kNone;
  State state_ = State::kWaiting;
  bool is_head_request_;
  bool is_http_1_0_;
  bool has_turn_ = false;
  bool has_reply_ = false;
  bool is_pumping_ = false;
  /// Whether the answer says "Connection: close". Without it the connection
  /// must stay open, as the peer may have sent the next request already.
  bool says_close_ = false;
};

}  // namespace cassiabend
