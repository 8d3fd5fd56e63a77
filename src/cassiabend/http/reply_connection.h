#pragma once

#include "cassiabend/core/call_events.h"
#include "cassiabend/http/answer_stream.h"

namespace cassiabend {

/// \brief Connection of one attempt, fetch or cancel over which the
/// destination node replies to the entry node.
class ReplyConnection {
 public:
  ReplyConnection() = default;
  ReplyConnection(const ReplyConnection&) = delete;
  ReplyConnection& operator=(const ReplyConnection&) = delete;
  virtual ~ReplyConnection() = default;

  virtual void SendNotRun(const ReplyNotRun& reply) = 0;
  virtual void SendStillRunning() = 0;
  /// \brief Asks for the body of the attempt that was offered.
  virtual void SendBodyWanted() = 0;
  /// \brief Shows that the attempt is queued or running; the connection
  /// stays open.
  virtual void SendProgress() = 0;
  virtual void SendUnknown() = 0;
  /// \brief Relays the answer as it arrives, from its start.
  /// \param bound When the answer is due, and the times to state with it.
  virtual void StreamAnswer(RefPtr<AnswerStream> answer,
                            const SendAnswer& bound) = 0;
  /// \brief Closes the connection without a reply, as another one takes the
  /// answer or there is none.
  virtual void Close() = 0;
};

}  // namespace cassiabend
