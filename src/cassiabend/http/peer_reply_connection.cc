#include "cassiabend/http/peer_reply_connection.h"

#include <utility>

#include "cassiabend/http/headers.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {

void PeerReplyConnection::SendNotRun(const ReplyNotRun& reply) {
  MessageHead head = NotRunHead(reply.reason, reply.retry_after);
  head.Add(kTimesHeader, FormatTimes(reply.times));
  if (reply.reached_upstream) {
    head.Add(kReachedHeader, "1");
  }
  exchange_->Reply(std::move(head),
                   ExplanationBody(kOutcomeNotRun, NameOf(reply.reason), {}));
}

void PeerReplyConnection::SendStillRunning() {
  exchange_->Reply(StillRunningHead(),
                   ExplanationBody(kOutcomeStillRunning, {}, {}));
}

void PeerReplyConnection::SendProgress() {
  exchange_->SendInterim();
}

void PeerReplyConnection::SendUnknown() {
  exchange_->Reply(UnknownHead(), ExplanationBody(kOutcomeUnknown, {}, {}));
}

void PeerReplyConnection::StreamAnswer(RefPtr<AnswerStream> answer,
                                       const SendAnswer& bound) {
  exchange_->Relay(std::move(answer), bound.due, FormatTimes(bound.times));
}

void PeerReplyConnection::Close() {
  exchange_->Abort();
}

}  // namespace cassiabend
