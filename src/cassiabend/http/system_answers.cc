#include "cassiabend/http/system_answers.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "cassiabend/http/header_text.h"
#include "cassiabend/http/headers.h"

namespace cassiabend {
namespace {

std::uint16_t StatusOf(NotRunReason reason) noexcept {
  switch (reason) {
    case NotRunReason::kNoRoute:
      return 404;
    case NotRunReason::kBadRequest:
      return 400;
    case NotRunReason::kDeadline:
      return 504;
    case NotRunReason::kShareExceeded:
    case NotRunReason::kAllotmentExceeded:
      return 429;
    case NotRunReason::kDepthExceeded:
      return 508;
    default:
      return 503;
  }
}

MessageHead SystemHead(std::uint16_t status, std::string_view outcome) {
  MessageHead head;
  head.status = status;
  head.reason = ReasonPhraseOf(status);
  head.Add(kOutcomeHeader, outcome);
  head.Add("Content-Type", "application/json");
  return head;
}

}  // namespace

std::string_view ReasonPhraseOf(std::uint16_t status) noexcept {
  switch (status) {
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 504:
      return "Gateway Timeout";
    case 508:
      return "Loop Detected";
    default:
      return "Service Unavailable";
  }
}

std::string FormatTimes(const DestinationTimes& times) {
  return std::to_string(times.load_permille) + ' ' +
         std::to_string(times.time_at_node.count()) + ' ' +
         std::to_string(times.service.count());
}

std::optional<DestinationTimes> ParseTimes(std::string_view text) {
  const std::size_t first = std::min(text.find(' '), text.size());
  const std::string_view rest = text.substr(std::min(first + 1, text.size()));
  const std::size_t second = std::min(rest.find(' '), rest.size());
  const auto load = ParseNumber<std::uint16_t>(text.substr(0, first));
  const auto stay = ParseMilliseconds(rest.substr(0, second));
  const auto service =
      ParseMilliseconds(rest.substr(std::min(second + 1, rest.size())));
  if (!load || !stay || !service) {
    return std::nullopt;
  }
  return DestinationTimes{*load, *stay, *service};
}

Outcome ReadOutcome(const MessageHead& head) {
  Outcome outcome;
  outcome.name = head.Get(kOutcomeHeader);
  outcome.reason = NotRunReasonByName(head.Get(kReasonHeader))
                       .value_or(NotRunReason::kOverloaded);
  outcome.retry_after = ReadRetryAfter(head);
  outcome.times = ParseTimes(head.Get(kTimesHeader));
  outcome.reached_upstream = head.Get(kReachedHeader) == "1";
  return outcome;
}

MessageHead NotRunHead(NotRunReason reason, Milliseconds retry_after) {
  MessageHead head = SystemHead(StatusOf(reason), kOutcomeNotRun);
  head.Add(kReasonHeader, NameOf(reason));
  if (retry_after > Milliseconds(0)) {
    const auto seconds = std::chrono::ceil<Seconds>(retry_after);
    head.Add(kRetryAfterHeader, std::to_string(seconds.count()));
    head.Add(kRetryAfterMsHeader, std::to_string(retry_after.count()));
  }
  return head;
}

MessageHead UnknownHead() {
  return SystemHead(502, kOutcomeUnknown);
}

MessageHead StillRunningHead() {
  return SystemHead(202, kOutcomeStillRunning);
}

MessageHead RefusalHead(std::uint16_t status) {
  MessageHead head = SystemHead(status, kOutcomeNotRun);
  head.Add(kReasonHeader, NameOf(NotRunReason::kBadRequest));
  return head;
}

std::string ExplanationBody(std::string_view outcome,
                            std::string_view reason,
                            std::string_view detail) {
  boost::json::object body;
  body["outcome"] = outcome;
  if (!reason.empty()) {
    body["reason"] = reason;
  }
  if (!detail.empty()) {
    body["detail"] = detail;
  }
  return boost::json::serialize(body) + "\n";
}

Milliseconds ReadRetryAfter(const MessageHead& head) {
  const auto exact = ParseMilliseconds(head.Get(kRetryAfterMsHeader));
  if (exact.has_value()) {
    return *exact;
  }
  const auto seconds = ParseNumber<std::uint32_t>(head.Get(kRetryAfterHeader));
  return std::min(Milliseconds(Seconds(seconds.value_or(0))), kMaxHeaderTime);
}

}  // namespace cassiabend
