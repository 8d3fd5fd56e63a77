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
  exchange_->Reply(std::move(head),
                   ExplanationBody(kOutcomeNotRun, NameOf(reply.reason), {}));
}

void SessionLink::StillRunning() {
  exchange_->Reply(StillRunningHead(),
                   ExplanationBody(kOutcomeStillRunning, {}, {}));
}

void SessionLink::Progress() {
  exchange_->SendInterim();
}

void SessionLink::Unknown() {
  exchange_->Reply(UnknownHead(), ExplanationBody(kOutcomeUnknown, {}, {}));
}

void SessionLink::Answer(RefPtr<AnswerStream> answer, const SendAnswer& bound) {
  exchange_->Relay(std::move(answer), bound.due, FormatTimes(bound.times));
}

void SessionLink::Close() {
  exchange_->Abort();
}

}  // namespace cassiabend
