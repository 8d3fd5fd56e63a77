#include "cassiabend/http/peer_reply_connection.h"

#include <utility>

#include "cassiabend/http/headers.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {

void PeerReplyConnection::Reply(MessageHead head, std::string_view body) {
  head.Add(kAttemptHeader, attempt_);
  exchange_->Reply(std::move(head), body);
}

void PeerReplyConnection::SendNotRun(const ReplyNotRun& reply) {
  MessageHead head = NotRunHead(reply.reason, reply.retry_after);
  for (const HeaderField& it : TimesHeaders(reply.times)) {
    head.Add(it.name, it.value);
  }
  if (reply.reached_upstream) {
    head.Add(kReachedHeader, "1");
  }
  Reply(std::move(head),
        ExplanationBody(kOutcomeNotRun, NameOf(reply.reason), {}));
}

void PeerReplyConnection::SendStillRunning() {
  Reply(StillRunningHead(), ExplanationBody(kOutcomeStillRunning, {}, {}));
}

void PeerReplyConnection::SendBodyWanted() {
  Reply(BodyWantedHead(), {});
}

void PeerReplyConnection::SendProgress() {
  exchange_->SendInterim();
}

void PeerReplyConnection::SendUnknown() {
  Reply(UnknownHead(), ExplanationBody(kOutcomeUnknown, {}, {}));
}

void PeerReplyConnection::StreamAnswer(RefPtr<AnswerStream> answer,
                                       const SendAnswer& bound) {
  std::vector<HeaderField> more = TimesHeaders(bound.times);
  more.insert(more.begin(), {std::string(kAttemptHeader), attempt_});
  exchange_->Relay(std::move(answer), bound.due, std::move(more));
}

void PeerReplyConnection::Close() {
  exchange_->Abort();
}

}  // namespace cassiabend
