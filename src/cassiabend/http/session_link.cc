#include "cassiabend/http/session_link.h"

#include <utility>

#include "cassiabend/http/headers.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {

void SessionLink::NotRun(const ReplyNotRun& reply) {
  MessageHead head = NotRunHead(reply.reason, reply.retry_after);
  head.Add(kTimesHeader, FormatTimes(reply.times));
  if (reply.reached_upstream) {
    head.Add(kReachedHeader, "1");
  }
  session_->Reply(std::move(head),
                  ExplanationBody(kOutcomeNotRun, NameOf(reply.reason), {}));
}

void SessionLink::StillRunning() {
  session_->Reply(StillRunningHead(),
                  ExplanationBody(kOutcomeStillRunning, {}, {}));
}

void SessionLink::Unknown() {
  session_->Reply(UnknownHead(), ExplanationBody(kOutcomeUnknown, {}, {}));
}

void SessionLink::Answer(RefPtr<AnswerStream> answer,
                         const DestinationTimes& times) {
  session_->Relay(std::move(answer), FormatTimes(times));
}

void SessionLink::Close() {
  session_->Abort();
}

}  // namespace cassiabend
