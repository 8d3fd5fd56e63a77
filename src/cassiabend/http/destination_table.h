#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/http/call_headers.h"
#include "cassiabend/http/outgoing_pool.h"
#include "cassiabend/http/reply_link.h"
#include "cassiabend/http/upstream_call.h"

namespace cassiabend {

/// \brief Settings of the destination's side.
struct DestinationOptions {
  /// Unset port for a host without an upstream.
  OutgoingPool::Endpoint upstream;
  Milliseconds progress_timeout{2'000};
  const CallWire* wire = &OwnCallWire();
  /// Answers up to this size are passed on only when they are whole.
  std::uint64_t whole_answer_bytes = 0;
  std::size_t held_answer_bytes = std::size_t{256} * 1024;
  /// Connections to the upstream that are opened ahead.
  std::uint32_t prepared_connections = 2;
  /// Bytes held in all above which delivered answers are freed early.
  std::uint64_t delivered_limit_bytes = std::uint64_t{32} * 1024 * 1024;
};

/// \brief Attempts at this node's upstream and the links that wait for them.
class DestinationTable {
 public:
  DestinationTable(OutgoingPool* pool,
                   const DestinationOptions& options,
                   RefPtr<HeldBytes> held_bytes,
                   EventSink* sink);

  /// \brief Takes a message of an entry node.
  /// \param held The caller's request; null for a fetch or cancel.
  void Arrive(ConnectionId id,
              const PeerRequest& request,
              RefPtr<HeldRequest> held,
              std::unique_ptr<ReplyLink> link);
  /// \returns The attempt that a link waits for, in hexadecimal digits; empty
  /// for none.
  [[nodiscard]] std::string AttemptOf(ConnectionId id) const;
  /// \brief Forgets a link whose answer was handed over, and says so.
  void LinkDone(ConnectionId id);
  /// \brief Forgets a link that was lost and says so.
  void LinkGone(ConnectionId id);

  void Execute(const StartUpstream& effect);
  void Execute(const CancelUpstream& effect);
  void Execute(const SendAnswer& effect);
  void Execute(const ReplyNotRun& effect);
  void Execute(const ReplyStillRunning& effect);
  void Execute(const ReplyProgress& effect);
  void Execute(const ReplyUnknown& effect);
  void Execute(const ReleaseAttempt& effect);
  /// \brief Writes a line for each attempt whose entry node is about to lose
  /// its connection.
  void LogOpen() const;
  void Close();

 private:
  struct Link {
    AttemptId attempt;
    AttemptVerb verb = AttemptVerb::kRun;
    std::unique_ptr<ReplyLink> way;
  };
  struct Attempt {
    AttemptRequest request;
    RefPtr<HeldRequest> held;
    RefPtr<AnswerStream> answer;
    std::unique_ptr<UpstreamCall> call;
    /// Open links that brought the attempt.
    std::uint32_t run_links = 0;
    /// Link that takes the answer while it is not whole; 0 for none.
    ConnectionId bound_link = 0;
    bool started = false;
    /// Whether it goes once its bound link has the answer.
    bool is_released = false;
  };
  using LinkMap = std::unordered_map<ConnectionId, Link>;
  using AttemptMap = std::unordered_map<AttemptId, Attempt, Id128Hasher>;

  [[nodiscard]] std::unique_ptr<ReplyLink> TakeLink(ConnectionId id);
  /// \brief Closes a link that cannot get the answer, and says so.
  void CloseLink(ConnectionId id);
  void ForgetIfRefused(const AttemptId& id);
  /// \brief Frees delivered answers, oldest first, while too much is held.
  void FreeDelivered();

  OutgoingPool* pool_;
  DestinationOptions options_;
  RefPtr<HeldBytes> held_bytes_;
  EventSink* sink_;
  LinkMap links_;
  /// Attempts whose answer was handed over, oldest first. They are kept only
  /// for an entry node that lost the connection within the answer.
  std::deque<AttemptId> delivered_;
  AttemptMap attempts_;
};

}  // namespace cassiabend
