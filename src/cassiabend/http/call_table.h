#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/http/attempt_client.h"
#include "cassiabend/http/call_wire.h"
#include "cassiabend/http/destination_table.h"
#include "cassiabend/http/outgoing_pool.h"
#include "cassiabend/http/server_exchange.h"

namespace cassiabend {

/// \brief Callers' requests at the node that they entered, and the attempts
/// made for them.
class CallTable {
 public:
  /// \param self This node; attempts to it need no connection.
  /// \param next_id Gives out the numbers of calls and links.
  CallTable(NodeId self,
            OutgoingPool* pool,
            Milliseconds progress_timeout,
            RefPtr<HeldBytes> held_bytes,
            DestinationTable* destination,
            std::uint64_t* next_id,
            const CallWire* wire,
            EventSink* sink);

  /// \brief Takes a caller's request and says that it arrived.
  void Arrive(CallId id,
              CallMetadata facts,
              RefPtr<HeldRequest> held,
              ServerExchange& exchange);
  [[nodiscard]] bool Has(CallId id) const { return calls_.contains(id); }
  /// \brief All earlier requests of the caller's connection are answered.
  void TakeTurn(CallId id);
  /// \brief The answer broke off before any of it left.
  void AnswerBroken(CallId id);
  /// \brief The caller closed before its answer began.
  void CallerLeft(CallId id);
  /// \brief The caller's connection took the answer, whole or cut.
  /// \param bytes Bytes of the answer's body.
  void AnswerEnded(CallId id, bool complete, std::uint64_t bytes);

  void Execute(const SendAttempt& effect);
  void Execute(const RelayAnswer& effect);
  void Execute(const DropAttempt& effect);
  void Execute(const AnswerNotRun& effect);
  void Execute(const AnswerUnknown& effect);
  /// \brief Drops every attempt of the call.
  void Execute(const CallEnded& effect);
  /// \brief Writes a line for each call that is about to be cut.
  void LogOpen() const;
  /// \returns The caller's id of a call; empty for none.
  [[nodiscard]] std::string RequestOf(CallId id) const;
  void Close();

 private:
  class LocalLink;

  struct Call {
    RefPtr<ServerExchange> exchange;
    RefPtr<HeldRequest> held;
    std::string request_id;
    /// Attempt whose answer is being relayed; zero for none.
    AttemptId relayed;
  };
  struct Attempt {
    /// Null for an attempt at this node's own upstream.
    std::unique_ptr<AttemptClient> client;
    /// Link within this process; 0 for none.
    ConnectionId link = 0;
    RefPtr<AnswerStream> local_answer;
  };

  [[nodiscard]] Attempt& AttemptOf(CallId call, const AttemptId& id);
  void Drop(const AttemptId& id);
  void SendLocally(const SendAttempt& effect, RefPtr<HeldRequest> held);
  [[nodiscard]] RefPtr<AnswerStream> AnswerOf(const AttemptId& id) const;

  NodeId self_;
  OutgoingPool* pool_;
  Milliseconds progress_timeout_;
  RefPtr<HeldBytes> held_bytes_;
  DestinationTable* destination_;
  std::uint64_t* next_id_;
  const CallWire* wire_;
  EventSink* sink_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<AttemptId, Attempt, Id128Hasher> attempts_;
  /// Attempts of calls that have not ended.
  std::unordered_map<CallId, std::vector<AttemptId>> attempts_of_;
};

}  // namespace cassiabend
