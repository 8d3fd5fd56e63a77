#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/http/attempt_client.h"
#include "cassiabend/http/call_protocol.h"
#include "cassiabend/http/connection_pool.h"
#include "cassiabend/http/destination_table.h"
#include "cassiabend/http/server_exchange.h"

namespace cassiabend {

/// \brief The calls that entered at this node, and the attempts made for them.
class CallTable {
 public:
  /// \param self This node; attempts to it need no connection.
  /// \param next_id Next id of a call or connection, shared with the server.
  CallTable(NodeId self,
            ConnectionPool* pool,
            BulkPacer* pacer,
            Milliseconds progress_timeout,
            RefPtr<BufferedBytes> buffered_bytes,
            DestinationTable* destination,
            std::uint64_t* next_id,
            const CallProtocol* call_protocol,
            TrafficSplit* traffic,
            EventSink* sink);

  /// \brief Adds a caller's request and posts `CallArrived`.
  /// \param buffered_request The whole request, kept until an answer is
  /// relayed.
  void AddCall(CallId id,
               CallMetadata metadata,
               RefPtr<BufferedRequest> buffered_request,
               ServerExchange& exchange);
  [[nodiscard]] bool Has(CallId id) const { return calls_.contains(id); }
  /// \brief Posts `CallTurn`: all earlier requests of the caller's connection
  /// are answered.
  void HandleTurn(CallId id);
  /// \brief Answers the caller that the outcome is unknown, as the upstream's
  /// answer broke off before any of it was relayed.
  void HandleBrokenAnswer(CallId id);
  /// \brief Removes a call whose caller closed before its answer began, and
  /// posts `CallerDisconnected`.
  void HandleCallerClosed(CallId id);
  /// \brief Removes a call whose answer has ended, and posts `AnswerRelayed` if
  /// it was relayed.
  /// \param complete Whether all of the answer was sent.
  /// \param bytes Bytes of the answer's body that were sent.
  void HandleAnswerEnd(CallId id, bool complete, std::uint64_t bytes);

  void Execute(const SendAttempt& effect);
  void Execute(const RelayAnswer& effect);
  void Execute(const DropAttempt& effect);
  void Execute(const AnswerNotRun& effect);
  void Execute(const AnswerUnknown& effect);
  /// \brief Removes every attempt of the call.
  void Execute(const CallEnded& effect);
  /// \brief Logs the calls that are open, which the end of the process cuts; at
  /// most 16 of them.
  void LogOpenCalls() const;
  /// \returns The id that the caller gave to its request; empty for none.
  [[nodiscard]] std::string RequestIdOfCall(CallId id) const;
  void Close();

 private:
  class LocalReplyConnection;

  struct Call {
    RefPtr<ServerExchange> exchange;
    RefPtr<BufferedRequest> buffered_request;
    std::string request_id;
    /// Attempt whose answer is relayed; zero for none.
    AttemptId relayed_attempt;
  };
  struct Attempt {
    /// Null for an attempt at this host's upstream.
    std::unique_ptr<AttemptClient> client;
    /// Connection of an attempt at this host's upstream, within this process; 0
    /// for none.
    ConnectionId connection = 0;
    RefPtr<AnswerStream> local_answer;
  };

  [[nodiscard]] Attempt& GetOrAddAttempt(CallId call, const AttemptId& id);
  void RemoveAttempt(const AttemptId& id);
  void SendLocally(const SendAttempt& effect,
                   RefPtr<BufferedRequest> buffered_request);
  [[nodiscard]] RefPtr<AnswerStream> AnswerOf(const AttemptId& id) const;

  NodeId self_;
  ConnectionPool* pool_;
  BulkPacer* pacer_;
  Milliseconds progress_timeout_;
  RefPtr<BufferedBytes> buffered_bytes_;
  DestinationTable* destination_;
  std::uint64_t* next_id_;
  const CallProtocol* call_protocol_;
  TrafficSplit* traffic_;
  EventSink* sink_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<AttemptId, Attempt, Id128Hasher> attempts_;
  /// Attempts by call, of calls that have not ended.
  std::unordered_map<CallId, std::vector<AttemptId>> attempts_of_;
};

}  // namespace cassiabend
