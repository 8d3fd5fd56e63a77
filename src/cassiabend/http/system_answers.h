#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/core/call_events.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief Outcome of a request as the headers of an answer from another node
/// state it.
struct Outcome {
  /// One of the values of `kOutcomeHeader`; empty when absent.
  std::string_view name;
  NotRunReason reason = NotRunReason::kOverloaded;
  Milliseconds retry_after{0};
  /// Whether the upstream itself refused.
  bool reached_upstream = false;
  std::optional<DestinationTimes> times;
};

/// \returns The value of `kTimesHeader`.
[[nodiscard]] std::string FormatTimes(const DestinationTimes& times);
/// \returns The headers that state load and times of a destination.
[[nodiscard]] std::vector<HeaderField> TimesHeaders(
    const DestinationTimes& times);
/// \returns Unset when `text` is not in the format of `FormatTimes`.
[[nodiscard]] std::optional<DestinationTimes> ParseTimes(std::string_view text);
[[nodiscard]] Outcome ReadOutcome(const MessageHead& head);

/// \returns The reason phrase of a status of this system's own answers;
/// "Service Unavailable" for any other.
[[nodiscard]] std::string_view ReasonPhraseOf(std::uint16_t status) noexcept;

/// \returns The head of an answer that says that a request was not run.
[[nodiscard]] MessageHead NotRunHead(NotRunReason reason,
                                     Milliseconds retry_after);
/// \returns The head of an answer that says that a request may have been run.
[[nodiscard]] MessageHead UnknownHead();
/// \returns The head of the answer to a fetch whose attempt is still running.
[[nodiscard]] MessageHead StillRunningHead();
/// \returns The head of a reply that asks for the body of an offered attempt.
[[nodiscard]] MessageHead BodyWantedHead();
/// \returns The head of an answer that refuses an invalid message with
/// `status`.
[[nodiscard]] MessageHead RefusalHead(std::uint16_t status);

/// \returns The JSON body of this system's own answers. An empty `reason` or
/// `detail` is left out.
[[nodiscard]] std::string ExplanationBody(std::string_view outcome,
                                          std::string_view reason,
                                          std::string_view detail);

/// \returns How long to wait before a retry, from `kRetryAfterMsHeader` or
/// else `kRetryAfterHeader`; zero when absent or malformed.
[[nodiscard]] Milliseconds ReadRetryAfter(const MessageHead& head);

}  // namespace cassiabend
