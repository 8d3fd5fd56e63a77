#pragma once

#include "cassiabend/core/call_events.h"
#include "cassiabend/http/answer_stream.h"

namespace cassiabend {

/// \brief Connection of one attempt, fetch or cancel over which the
/// destination node replies to the entry node.
class ReplyLink {
 public:
  ReplyLink() = default;
  ReplyLink(const ReplyLink&) = delete;
  ReplyLink& operator=(const ReplyLink&) = delete;
  virtual ~ReplyLink() = default;

  virtual void NotRun(const ReplyNotRun& reply) = 0;
  virtual void StillRunning() = 0;
  /// \brief Shows that the attempt is queued or running; the connection
  /// stays open.
  virtual void Progress() = 0;
  virtual void Unknown() = 0;
  /// \brief Relays the answer as it arrives, from its start.
  /// \param bound When the answer is due, and the times to state with it.
  virtual void Answer(RefPtr<AnswerStream> answer, const BindAnswer& bound) = 0;
  /// \brief Closes the connection without a reply, as another one takes the
  /// answer or there is none.
  virtual void Close() = 0;
};

}  // namespace cassiabend
