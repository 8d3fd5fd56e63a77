#include "cassiabend/http/session_link.h"

#include <utility>

#include "cassiabend/http/headers.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {

void SessionLink::NotRun(NotRunReason reason, Milliseconds retry_after) {
  session_->Reply(NotRunHead(reason, retry_after),
                  ExplanationBody(kOutcomeNotRun, NameOf(reason), {}));
}

void SessionLink::StillRunning() {
  session_->Reply(StillRunningHead(),
                  ExplanationBody(kOutcomeStillRunning, {}, {}));
}

void SessionLink::Unknown() {
  session_->Reply(UnknownHead(), ExplanationBody(kOutcomeUnknown, {}, {}));
}

void SessionLink::Answer(RefPtr<AnswerStream> answer) {
  session_->Relay(std::move(answer));
}

void SessionLink::Close() {
  session_->Abort();
}

}  // namespace cassiabend
