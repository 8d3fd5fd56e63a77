#include "cassiabend/http/call_headers.h"

#include <algorithm>
#include <array>
#include <limits>

#include "cassiabend/http/header_text.h"
#include "cassiabend/http/headers.h"

namespace cassiabend {
namespace {

/// Latest wall-clock time that a header may state, in milliseconds since the
/// Unix epoch.
constexpr std::uint64_t kMaxWallMs = 1ULL << 53;

std::uint8_t ParseDepth(std::string_view text) noexcept {
  constexpr unsigned kMax = std::numeric_limits<std::uint8_t>::max();
  if (text.empty()) {
    return 0;
  }
  // A malformed depth counts as too deep.
  return static_cast<std::uint8_t>(
      std::min(ParseNumber<unsigned>(text).value_or(kMax), kMax));
}

bool IsRetry(const MessageHead& head) noexcept {
  const std::string_view text = head.Get(kRetryHeader);
  return !text.empty() && text != "0";
}

/// \brief Parses a number whose header is omitted when it is 0.
std::optional<std::uint32_t> ParseOptionalNumber(
    std::string_view text) noexcept {
  return text.empty() ? 0 : ParseNumber<std::uint32_t>(text);
}

/// \brief Adds a header unless its value is the default.
void AddUnlessDefault(std::string_view name,
                      std::string_view value,
                      MessageHead* head) {
  if (!value.empty() && value != "0") {
    head->Add(name, value);
  }
}

std::string_view NameOfVerb(AttemptVerb verb) noexcept {
  switch (verb) {
    case AttemptVerb::kFetch:
      return "fetch";
    case AttemptVerb::kCancel:
      return "cancel";
    case AttemptVerb::kOffer:
      return "offer";
    default:
      return "run";
  }
}

std::optional<AttemptVerb> VerbByName(std::string_view name) noexcept {
  for (const AttemptVerb it : {AttemptVerb::kRun, AttemptVerb::kFetch,
                               AttemptVerb::kCancel, AttemptVerb::kOffer}) {
    if (NameOfVerb(it) == name) {
      return it;
    }
  }
  return std::nullopt;
}

/// \returns Whether the request states all of the attempt.
bool StatesAttempt(AttemptVerb verb) noexcept {
  return verb == AttemptVerb::kRun || verb == AttemptVerb::kOffer;
}

}  // namespace

std::string HostWithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool is_ipv6 =
      host.find(']') != std::string_view::npos && colon < host.rfind(']');
  if (colon != std::string_view::npos && !is_ipv6) {
    host = host.substr(0, colon);
  }
  return ToLower(host);
}

std::optional<UpstreamLoad> ParseUpstreamLoad(std::string_view text) noexcept {
  constexpr std::size_t kMinNumbers = 3;
  std::array<std::uint32_t, 4> numbers{};
  std::size_t n = 0;
  for (bool more = !text.empty(); more; ++n) {
    const std::size_t end = std::min(text.find(','), text.size());
    const auto number = ParseNumber<std::uint32_t>(text.substr(0, end));
    if (!number || n == numbers.size()) {
      return std::nullopt;
    }
    numbers.at(n) = *number;
    more = end < text.size();
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  if (n < kMinNumbers) {
    return std::nullopt;
  }
  return UpstreamLoad{numbers[0], numbers[1], numbers[2], numbers[3]};
}

std::optional<KeyDigest> ReadKey(const MessageHead& head,
                                 std::string_view name) {
  std::optional<KeyDigest> out;
  for (const HeaderField& it : head.fields) {
    if (!EqualsIgnoreCase(it.name, name)) {
      continue;
    }
    if (out) {
      // No team has the empty key.
      return DigestOfKey({});
    }
    out = DigestOfKey(it.value);
  }
  return out;
}

CallMetadata ReadCallMetadata(const MessageHead& head) {
  CallMetadata metadata;
  metadata.request_id = head.Get(kRequestIdHeader);
  metadata.team = head.Get(kTeamHeader);
  metadata.host = HostWithoutPort(head.Get("Host"));
  metadata.path = head.target.substr(0, head.target.find('?'));
  metadata.method = head.method;
  metadata.key = ReadKey(head, kKeyHeader);
  metadata.order_key = head.Get(kIdempotencyKeyHeader);
  metadata.deadline = ParseMilliseconds(head.Get(kDeadlineHeader));
  metadata.depth = ParseDepth(head.Get(kDepthHeader));
  metadata.is_retry = IsRetry(head);
  for (const HeaderField& it : head.fields) {
    if (StartsWithIgnoreCase(it.name, "x-") &&
        !EqualsIgnoreCase(it.name, kKeyHeader)) {
      metadata.headers.emplace_back(ToLower(it.name), it.value);
    }
  }
  return metadata;
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
  if (!StatesAttempt(*verb)) {
    return request;
  }
  const auto deadline = ParseMilliseconds(head.Get(kDeadlineHeader));
  const auto number = ParseNumber<std::uint64_t>(head.Get(kConfigHeader));
  const auto longest = ParseOptionalNumber(head.Get(kLongestJobHeader));
  const auto priority = ParseOptionalNumber(head.Get(kPriorityHeader));
  const auto team_priority = ParseOptionalNumber(head.Get(kTeamPriorityHeader));
  const auto objective = ParseOptionalNumber(head.Get(kObjectiveHeader));
  const auto body_bytes = ParseOptionalNumber(head.Get(kBodyBytesHeader));
  const auto expires = ParseNumber<std::uint64_t>(head.Get(kExpiresHeader));
  if (!deadline.has_value() || !number.has_value() || !longest.has_value() ||
      !priority.has_value() || !team_priority.has_value() ||
      !objective.has_value() || !body_bytes.has_value() ||
      !expires.has_value() || *expires > kMaxWallMs) {
    return std::nullopt;
  }
  attempt.deadline = *deadline;
  attempt.config_number = *number;
  attempt.longest_job = Seconds(*longest);
  attempt.route = head.Get(kRouteHeader);
  attempt.service = head.Get(kServiceHeader);
  attempt.team = head.Get(kTeamHeader);
  attempt.request_class = head.Get(kClassHeader);
  attempt.order_key = head.Get(kOrderKeyHeader);
  attempt.site = head.Get(kSiteHeader);
  attempt.caller_service = head.Get(kCallerHeader);
  attempt.priority = *priority;
  attempt.team_priority = *team_priority;
  attempt.has_verified_team = head.Get(kVerifiedTeamHeader) == "1";
  attempt.objective = Milliseconds(*objective);
  attempt.body_bytes = *body_bytes;
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
  if (!StatesAttempt(request.verb)) {
    return;
  }
  head->Add(kDeadlineHeader, std::to_string(attempt.deadline.count()));
  head->Add(kConfigHeader, std::to_string(attempt.config_number));
  head->Add(kRouteHeader, attempt.route);
  head->Add(kServiceHeader, attempt.service);
  AddUnlessDefault(kLongestJobHeader,
                   std::to_string(attempt.longest_job.count()), head);
  AddUnlessDefault(kTeamHeader, attempt.team, head);
  AddUnlessDefault(kClassHeader, attempt.request_class, head);
  if (!attempt.order_key.empty()) {
    head->Add(kOrderKeyHeader, attempt.order_key);
  }
  AddUnlessDefault(kSiteHeader, attempt.site, head);
  AddUnlessDefault(kCallerHeader, attempt.caller_service, head);
  AddUnlessDefault(kPriorityHeader, std::to_string(attempt.priority), head);
  AddUnlessDefault(kTeamPriorityHeader, std::to_string(attempt.team_priority),
                   head);
  AddUnlessDefault(kVerifiedTeamHeader, attempt.has_verified_team ? "1" : "",
                   head);
  AddUnlessDefault(kObjectiveHeader, std::to_string(attempt.objective.count()),
                   head);
  AddUnlessDefault(kBodyBytesHeader, std::to_string(attempt.body_bytes), head);
  AddUnlessDefault(kNoisyHeader, attempt.noisy ? "1" : "", head);
  AddUnlessDefault(kOnceHeader, attempt.once ? "1" : "", head);
  AddUnlessDefault(kDepthHeader, std::to_string(attempt.depth), head);
  AddUnlessDefault(kRetryHeader, attempt.is_retry ? "1" : "", head);
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
  if (!attempt.team.empty()) {
    head->Add(kTeamHeader, attempt.team);
  }
}

}  // namespace cassiabend
