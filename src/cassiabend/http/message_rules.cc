#include "cassiabend/http/message_rules.h"

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <concepts>
#include <limits>

#include "cassiabend/http/headers.h"

namespace cassiabend {
namespace {

/// Longest time that a header may state.
constexpr std::uint64_t kMaxHeaderMs = 24ULL * 3600 * 1000;
/// Latest wall-clock time that a header may state.
constexpr std::uint64_t kMaxWallMs = 1ULL << 53;

constexpr std::array<std::string_view, 11> kConnectionHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect",
    "Content-Length",
    "Transfer-Encoding",
    "Proxy-Authenticate",
    "Proxy-Authorization",
};

bool StartsWithIgnoreCase(std::string_view text,
                          std::string_view prefix) noexcept {
  return text.size() >= prefix.size() &&
         EqualsIgnoreCase(text.substr(0, prefix.size()), prefix);
}

std::string_view Trim(std::string_view text) noexcept {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

/// \returns The lower-case names that the "Connection" headers list.
std::vector<std::string> ConnectionTokens(const MessageHead& head) {
  std::vector<std::string> tokens;
  for (const HeaderField& it : head.fields) {
    if (!EqualsIgnoreCase(it.name, "Connection")) {
      continue;
    }
    std::string_view rest = it.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      const std::string_view token = Trim(rest.substr(0, comma));
      if (!token.empty()) {
        tokens.emplace_back(token);
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return tokens;
}

template <std::unsigned_integral Number>
std::optional<Number> ParseNumber(std::string_view text) noexcept {
  Number n = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || it != end) {
    return std::nullopt;
  }
  return n;
}

std::optional<Milliseconds> ParseMilliseconds(std::string_view text) noexcept {
  const auto n = ParseNumber<std::uint64_t>(text);
  if (!n.has_value()) {
    return std::nullopt;
  }
  return Milliseconds(std::min(*n, kMaxHeaderMs));
}

std::string ToLower(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return out;
}

std::string HostWithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool is_ipv6 =
      host.find(']') != std::string_view::npos && colon < host.rfind(']');
  if (colon != std::string_view::npos && !is_ipv6) {
    host = host.substr(0, colon);
  }
  return ToLower(host);
}

std::uint8_t ParseDepth(std::string_view text) noexcept {
  constexpr unsigned kMax = std::numeric_limits<std::uint8_t>::max();
  if (text.empty()) {
    return 0;
  }
  // A depth that cannot be read counts as too deep.
  return static_cast<std::uint8_t>(
      std::min(ParseNumber<unsigned>(text).value_or(kMax), kMax));
}

bool IsRetry(const MessageHead& head) noexcept {
  const std::string_view text = head.Get(kRetryHeader);
  return !text.empty() && text != "0";
}

std::string_view NameOfVerb(AttemptVerb verb) noexcept {
  switch (verb) {
    case AttemptVerb::kFetch:
      return "fetch";
    case AttemptVerb::kCancel:
      return "cancel";
    default:
      return "run";
  }
}

std::optional<AttemptVerb> VerbByName(std::string_view name) noexcept {
  for (const AttemptVerb it :
       {AttemptVerb::kRun, AttemptVerb::kFetch, AttemptVerb::kCancel}) {
    if (NameOfVerb(it) == name) {
      return it;
    }
  }
  return std::nullopt;
}

std::uint16_t StatusOf(NotRunReason reason) noexcept {
  switch (reason) {
    case NotRunReason::kNoRoute:
      return 404;
    case NotRunReason::kBadRequest:
      return 400;
    case NotRunReason::kDeadline:
      return 504;
    case NotRunReason::kShareExceeded:
      return 429;
    case NotRunReason::kDepthExceeded:
      return 508;
    default:
      return 503;
  }
}

std::string_view PhraseOf(std::uint16_t status) noexcept {
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

MessageHead SystemHead(std::uint16_t status, std::string_view outcome) {
  MessageHead head;
  head.status = status;
  head.reason = PhraseOf(status);
  head.Add(kOutcomeHeader, outcome);
  head.Add("Content-Type", "application/json");
  return head;
}

}  // namespace

void StripConnectionHeaders(MessageHead* head) {
  const std::vector<std::string> tokens = ConnectionTokens(*head);
  std::erase_if(head->fields, [&tokens](const HeaderField& it) {
    const auto is_same = [&it](std::string_view name) {
      return EqualsIgnoreCase(it.name, name);
    };
    return std::ranges::any_of(kConnectionHeaders, is_same) ||
           std::ranges::any_of(tokens, is_same);
  });
}

void StripSystemHeaders(MessageHead* head) {
  std::erase_if(head->fields, [](const HeaderField& it) {
    return StartsWithIgnoreCase(it.name, kSystemHeaderPrefix);
  });
}

std::string NormalizeTarget(MessageHead* head) {
  constexpr std::string_view kScheme = "http://";
  if (StartsWithIgnoreCase(head->target, kScheme)) {
    const std::string rest = head->target.substr(kScheme.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    std::erase_if(head->fields, [](const HeaderField& it) {
      return EqualsIgnoreCase(it.name, "Host");
    });
    head->Add("Host", std::string_view(rest).substr(0, slash));
    head->target = slash < rest.size() ? rest.substr(slash) : "/";
  }
  if (head->target.empty() || head->target.front() != '/') {
    return "the target is not an absolute path";
  }
  const auto hosts = std::ranges::count_if(
      head->fields,
      [](const HeaderField& it) { return EqualsIgnoreCase(it.name, "Host"); });
  if (hosts > 1 || (hosts == 0 && !head->is_http_1_0)) {
    return "there must be one Host header";
  }
  return {};
}

CallFacts ReadCallFacts(const MessageHead& head) {
  CallFacts facts;
  facts.tenant = head.Get(kTenantHeader);
  facts.host = HostWithoutPort(head.Get("Host"));
  facts.path = head.target.substr(0, head.target.find('?'));
  facts.method = head.method;
  facts.order_key = head.Get(kOrderKeyHeader);
  facts.deadline = ParseMilliseconds(head.Get(kDeadlineHeader));
  facts.depth = ParseDepth(head.Get(kDepthHeader));
  facts.is_retry = IsRetry(head);
  for (const HeaderField& it : head.fields) {
    if (StartsWithIgnoreCase(it.name, "x-")) {
      facts.headers.emplace_back(ToLower(it.name), it.value);
    }
  }
  return facts;
}

bool IsPeerRequest(const MessageHead& head) noexcept {
  return head.Has(kAttemptHeader);
}

std::optional<PeerRequest> ReadPeerRequest(const MessageHead& head) {
  PeerRequest request;
  AttemptRequest& attempt = request.attempt;
  const auto verb = VerbByName(head.Get(kVerbHeader));
  const auto start_id = ParseNumber<std::uint64_t>(head.Get(kStartIdHeader));
  if (!verb.has_value() || !start_id.has_value() ||
      !FromHex(head.Get(kAttemptHeader), &attempt.id)) {
    return std::nullopt;
  }
  request.verb = *verb;
  attempt.destination_start_id = *start_id;
  if (*verb != AttemptVerb::kRun) {
    return request;
  }
  const auto deadline = ParseMilliseconds(head.Get(kDeadlineHeader));
  const auto number = ParseNumber<std::uint64_t>(head.Get(kConfigHeader));
  const auto longest = ParseNumber<std::uint32_t>(head.Get(kLongestJobHeader));
  const auto expires = ParseNumber<std::uint64_t>(head.Get(kExpiresHeader));
  if (!deadline.has_value() || !number.has_value() || !longest.has_value() ||
      !expires.has_value() || *expires > kMaxWallMs) {
    return std::nullopt;
  }
  attempt.deadline = *deadline;
  attempt.config_number = *number;
  attempt.longest_job = Seconds(*longest);
  attempt.route = head.Get(kRouteHeader);
  attempt.service = head.Get(kServiceHeader);
  attempt.tenant = head.Get(kTenantHeader);
  attempt.request_class = head.Get(kClassHeader);
  attempt.order_key = head.Get(kOrderKeyHeader);
  attempt.site = head.Get(kSiteHeader);
  attempt.noisy = head.Get(kNoisyHeader) == "1";
  attempt.once = head.Get(kOnceHeader) == "1";
  attempt.depth = ParseDepth(head.Get(kDepthHeader));
  attempt.is_retry = IsRetry(head);
  attempt.expires_at = WallTime(Milliseconds(*expires));
  return request;
}

void WritePeerRequest(const PeerRequest& request, MessageHead* head) {
  const AttemptRequest& attempt = request.attempt;
  head->Add(kAttemptHeader, ToHex(attempt.id));
  head->Add(kVerbHeader, NameOfVerb(request.verb));
  head->Add(kStartIdHeader, std::to_string(attempt.destination_start_id));
  if (request.verb != AttemptVerb::kRun) {
    return;
  }
  head->Add(kDeadlineHeader, std::to_string(attempt.deadline.count()));
  head->Add(kConfigHeader, std::to_string(attempt.config_number));
  head->Add(kLongestJobHeader, std::to_string(attempt.longest_job.count()));
  head->Add(kRouteHeader, attempt.route);
  head->Add(kServiceHeader, attempt.service);
  head->Add(kTenantHeader, attempt.tenant);
  head->Add(kClassHeader, attempt.request_class);
  head->Add(kSiteHeader, attempt.site);
  head->Add(kNoisyHeader, attempt.noisy ? "1" : "0");
  head->Add(kOnceHeader, attempt.once ? "1" : "0");
  head->Add(kDepthHeader, std::to_string(attempt.depth));
  head->Add(kRetryHeader, attempt.is_retry ? "1" : "0");
  head->Add(kExpiresHeader,
            std::to_string(attempt.expires_at.time_since_epoch().count()));
}

void WriteUpstreamHeaders(const AttemptRequest& attempt,
                          Milliseconds deadline,
                          MessageHead* head) {
  std::erase_if(head->fields, [](const HeaderField& it) {
    return EqualsIgnoreCase(it.name, kRequestIdHeader);
  });
  head->Add(kRequestIdHeader, ToHex(attempt.id));
  head->Add(kDeadlineHeader, std::to_string(deadline.count()));
  head->Add(kDepthHeader, std::to_string(attempt.depth + 1));
  if (attempt.is_retry) {
    head->Add(kRetryHeader, "1");
  }
  if (!attempt.tenant.empty()) {
    head->Add(kTenantHeader, attempt.tenant);
  }
}

Outcome ReadOutcome(const MessageHead& head) {
  Outcome outcome;
  outcome.name = head.Get(kOutcomeHeader);
  outcome.reason = NotRunReasonByName(head.Get(kReasonHeader))
                       .value_or(NotRunReason::kOverloaded);
  outcome.retry_after = ReadRetryAfter(head);
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
  return std::min(Milliseconds(Seconds(seconds.value_or(0))),
                  Milliseconds(kMaxHeaderMs));
}

}  // namespace cassiabend
