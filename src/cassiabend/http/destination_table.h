#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/http/call_headers.h"
#include "cassiabend/http/connection_pool.h"
#include "cassiabend/http/reply_connection.h"
#include "cassiabend/http/upstream_call.h"

namespace cassiabend {

/// \brief Settings of attempts at this host's upstream.
struct DestinationOptions {
  /// Port 0 for a host without an upstream.
  ConnectionPool::Endpoint upstream;
  /// Longest pause within an upstream's answer, unless the attempt's deadline
  /// allows more.
  Milliseconds progress_timeout{2'000};
  const CallProtocol* call_protocol = &DefaultCallProtocol();
  /// Answers up to this size are forwarded only once complete.
  std::uint64_t whole_answer_bytes = 0;
  /// Answers up to this size are kept whole for another connection.
  std::size_t held_answer_bytes = std::size_t{256} * 1024;
  /// Connections to the upstream that are opened before they are needed.
  std::uint32_t prepared_connections = 2;
  /// Buffered bytes of all messages above which delivered answers are freed
  /// early.
  std::uint64_t delivered_limit_bytes = std::uint64_t{32} * 1024 * 1024;
};

/// \brief Attempts at this host's upstream, and the connections over which
/// entry nodes wait for their answers.
class DestinationTable {
 public:
  DestinationTable(ConnectionPool* pool,
                   const DestinationOptions& options,
                   RefPtr<BufferedBytes> buffered_bytes,
                   EventSink* sink);

  /// \brief Adds the connection of a request from an entry node, and posts the
  /// event of its verb.
  /// \param buffered_request The caller's request; null for a fetch or cancel.
  /// \param connection Sends the replies to the entry node.
  void AddConnection(ConnectionId id,
                     const PeerRequest& request,
                     RefPtr<BufferedRequest> buffered_request,
                     std::unique_ptr<ReplyConnection> connection);
  /// \returns The id of the attempt that a connection waits for, in hexadecimal
  /// digits; empty for none.
  [[nodiscard]] std::string AttemptIdOf(ConnectionId id) const;
  /// \brief Removes a connection over which the whole answer was sent, and
  /// posts `AnswerSent`.
  void HandleAnswerSent(ConnectionId id);
  /// \brief Removes a connection that was lost and posts its loss.
  void HandleConnectionLost(ConnectionId id);

  void Execute(const StartUpstream& effect);
  void Execute(const CancelUpstream& effect);
  void Execute(const SendAnswer& effect);
  void Execute(const ReplyNotRun& effect);
  void Execute(const ReplyStillRunning& effect);
  void Execute(const ReplyBodyWanted& effect);
  void Execute(const ReplyProgress& effect);
  void Execute(const ReplyUnknown& effect);
  void Execute(const ReleaseAttempt& effect);
  /// \brief Logs the open connections, which the end of the process cuts; at
  /// most 16 of them.
  void LogOpenConnections() const;
  void Close();

 private:
  struct WaitingConnection {
    AttemptId attempt;
    AttemptVerb verb = AttemptVerb::kRun;
    std::unique_ptr<ReplyConnection> reply;
  };
  struct Attempt {
    AttemptRequest request;
    RefPtr<BufferedRequest> buffered_request;
    RefPtr<AnswerStream> answer;
    std::unique_ptr<UpstreamCall> call;
    /// Open connections whose verb is `kRun`.
    std::uint32_t run_connections = 0;
    /// Connection over which the answer is sent; 0 for none.
    ConnectionId bound_connection = 0;
    bool started = false;
    /// Whether the attempt is to be removed once its bound connection is.
    bool is_released = false;
  };
  using ConnectionMap = std::unordered_map<ConnectionId, WaitingConnection>;
  using AttemptMap = std::unordered_map<AttemptId, Attempt, Id128Hasher>;

  /// \returns The removed connection; null when there is none.
  [[nodiscard]] std::unique_ptr<ReplyConnection> RemoveConnection(
      ConnectionId id);
  /// \brief Closes a connection that cannot get the answer, and posts its loss.
  void CloseConnection(ConnectionId id);
  /// \brief Removes an attempt that never started and has no open run
  /// connection.
  void RemoveIfNotStarted(const AttemptId& id);
  /// \brief Frees delivered answers, oldest first, while more than
  /// `delivered_limit_bytes` are buffered.
  void FreeDeliveredAnswers();

  ConnectionPool* pool_;
  DestinationOptions options_;
  RefPtr<BufferedBytes> buffered_bytes_;
  EventSink* sink_;
  ConnectionMap connections_;
  /// Attempts whose answer was sent, oldest first. They are kept only for an
  /// entry node that loses the connection within the answer.
  std::deque<AttemptId> delivered_;
  AttemptMap attempts_;
};

}  // namespace cassiabend
