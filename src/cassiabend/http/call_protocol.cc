#include "cassiabend/http/call_protocol.h"

#include "cassiabend/http/call_headers.h"
#include "cassiabend/http/headers.h"
#include "cassiabend/http/prober.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
namespace {

constexpr std::uint16_t kServiceUnavailable = 503;

class DefaultProtocol final : public CallProtocol {
 public:
  [[nodiscard]] CallMetadata ReadCall(const MessageHead& head) const override {
    return ReadCallMetadata(head);
  }
  [[nodiscard]] std::string_view RequestIdOf(
      const MessageHead& head) const override {
    return head.Get(kRequestIdHeader);
  }
  void RemoveKey(MessageHead* /*head*/) const override {
    // The key is in a system header, which no request keeps.
  }
  void WriteUpstreamHeaders(const AttemptRequest& attempt,
                            const StartUpstream& start,
                            MessageHead* head) const override {
    cassiabend::WriteUpstreamHeaders(attempt, start.deadline, head);
  }
  [[nodiscard]] UpstreamOutcome ReadUpstreamOutcome(
      std::string_view /*request_id*/,
      const MessageHead& answer) const override {
    const bool shed = answer.status == kServiceUnavailable &&
                      answer.Get(kUpstreamShedHeader) == "1";
    return shed ? UpstreamOutcome::kRefused : UpstreamOutcome::kAnswered;
  }
  [[nodiscard]] ResponseMatch MatchAnswer(
      std::string_view /*request_id*/,
      const MessageHead& /*answer*/) const override {
    // Upstreams need not name the request that they answer.
    return ResponseMatch::kOwn;
  }
  [[nodiscard]] std::optional<UpstreamLoad> ReadLoad(
      const MessageHead& answer) const override {
    return ParseUpstreamLoad(answer.Get(kUpstreamLoadHeader));
  }
  [[nodiscard]] UpstreamProbed ReadHealth(
      const MessageHead& head,
      std::string_view body) const override {
    return cassiabend::ReadHealth(head.status, body);
  }
  [[nodiscard]] MessageHead MakeNotRunHead(
      NotRunReason reason,
      Milliseconds retry_after) const override {
    return NotRunHead(reason, retry_after);
  }
  [[nodiscard]] MessageHead MakeUnknownHead(bool /*timed_out*/) const override {
    return UnknownHead();
  }
  [[nodiscard]] bool adds_outcome_header() const noexcept override {
    return true;
  }
};

}  // namespace

const CallProtocol& DefaultCallProtocol() {
  static const DefaultProtocol call_protocol;
  return call_protocol;
}

}  // namespace cassiabend
