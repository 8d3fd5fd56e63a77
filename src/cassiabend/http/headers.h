#pragma once

#include <string_view>

namespace cassiabend {

/// \brief Names of the headers that calls carry. Callers may set those of the
/// first group.
inline constexpr std::string_view kTeamHeader = "X-Cassiabend-Team";
inline constexpr std::string_view kDeadlineHeader = "X-Cassiabend-Deadline-Ms";
inline constexpr std::string_view kDepthHeader = "X-Cassiabend-Depth";
inline constexpr std::string_view kRetryHeader = "X-Cassiabend-Retry";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

/// On answers to callers and between nodes.
inline constexpr std::string_view kOutcomeHeader = "X-Cassiabend-Outcome";
inline constexpr std::string_view kReasonHeader = "X-Cassiabend-Reason";
inline constexpr std::string_view kRetryAfterHeader = "Retry-After";
inline constexpr std::string_view kRetryAfterMsHeader =
    "X-Cassiabend-Retry-After-Ms";

/// On requests between nodes.
inline constexpr std::string_view kAttemptHeader = "X-Cassiabend-Attempt";
inline constexpr std::string_view kVerbHeader = "X-Cassiabend-Verb";
inline constexpr std::string_view kStartIdHeader = "X-Cassiabend-Start-Id";
inline constexpr std::string_view kRouteHeader = "X-Cassiabend-Route";
inline constexpr std::string_view kServiceHeader = "X-Cassiabend-Service";
inline constexpr std::string_view kClassHeader = "X-Cassiabend-Class";
inline constexpr std::string_view kSiteHeader = "X-Cassiabend-Site";
inline constexpr std::string_view kNoisyHeader = "X-Cassiabend-Noisy";
inline constexpr std::string_view kCallerHeader = "X-Cassiabend-Caller";
inline constexpr std::string_view kObjectiveHeader =
    "X-Cassiabend-Objective-Ms";
inline constexpr std::string_view kPriorityHeader = "X-Cassiabend-Priority";
inline constexpr std::string_view kTeamPriorityHeader =
    "X-Cassiabend-Team-Priority";
/// "1" when the entry node has found the team by the caller's key.
inline constexpr std::string_view kVerifiedTeamHeader =
    "X-Cassiabend-Verified-Team";
/// Key by which a caller identifies its team.
inline constexpr std::string_view kKeyHeader = "X-Cassiabend-Key";
/// On a refusal: "1" when the upstream itself refused.
inline constexpr std::string_view kReachedHeader = "X-Cassiabend-Reached";
/// On answers and refusals: load in thousandths of the upstream's slots, then
/// the attempt's time at the destination and its service time in milliseconds,
/// separated by spaces.
inline constexpr std::string_view kTimesHeader = "X-Cassiabend-Times";
/// The order key that the entry node has read. A caller's own header of another
/// name that happens to mean an order key elsewhere is no order key here.
inline constexpr std::string_view kOrderKeyHeader = "X-Cassiabend-Order-Key";
/// On answers and refusals: time that work takes at the upstream, in hundredths
/// of the usual. Left out when unknown; nodes that don't know it ignore it.
inline constexpr std::string_view kTimePercentHeader =
    "X-Cassiabend-Time-Percent";
/// Size of a large body that waits for the network links.
inline constexpr std::string_view kBodyBytesHeader = "X-Cassiabend-Body-Bytes";
inline constexpr std::string_view kOnceHeader = "X-Cassiabend-Once";
inline constexpr std::string_view kLongestJobHeader =
    "X-Cassiabend-Longest-Job-S";
inline constexpr std::string_view kConfigHeader = "X-Cassiabend-Config";
/// Milliseconds since the Unix epoch.
inline constexpr std::string_view kExpiresHeader = "X-Cassiabend-Expires-Ms";
/// Headers with this prefix are reserved for this system.
inline constexpr std::string_view kSystemHeaderPrefix = "X-Cassiabend-";

/// On requests to and answers from an upstream.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";
inline constexpr std::string_view kUpstreamShedHeader = "X-Upstream-Shed";
/// Load of the upstream, as `ParseUpstreamLoad` reads it.
inline constexpr std::string_view kUpstreamLoadHeader = "X-Upstream-Load";

/// Values of `kOutcomeHeader`.
inline constexpr std::string_view kOutcomeAnswered = "answered";
inline constexpr std::string_view kOutcomeNotRun = "not-run";
inline constexpr std::string_view kOutcomeUnknown = "unknown";
inline constexpr std::string_view kOutcomeStillRunning = "still-running";
inline constexpr std::string_view kOutcomeBodyWanted = "body-wanted";

}  // namespace cassiabend
