#pragma once

#include "cassiabend/core/call_events.h"
#include "cassiabend/http/answer_stream.h"

namespace cassiabend {

/// \brief The way back from a destination node to the entry node of one
/// attempt, fetch or cancel.
class ReplyLink {
 public:
  ReplyLink() = default;
  ReplyLink(const ReplyLink&) = delete;
  ReplyLink& operator=(const ReplyLink&) = delete;
  virtual ~ReplyLink() = default;

  virtual void NotRun(const ReplyNotRun& reply) = 0;
  virtual void StillRunning() = 0;
  /// \brief Shows that the attempt waits or runs; the link stays open.
  virtual void Progress() = 0;
  virtual void Unknown() = 0;
  /// \brief Hands over the answer as it arrives, from its start.
  virtual void Answer(RefPtr<AnswerStream> answer, const SendAnswer& bound) = 0;
  /// \brief Another link has taken this one's place.
  virtual void Close() = 0;
};

}  // namespace cassiabend
