#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/core/call_events.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief What an answer says of how its request fared.
struct Outcome {
  /// One of the values of `kOutcomeHeader`; empty when absent.
  std::string_view name;
  NotRunReason reason = NotRunReason::kOverloaded;
  Milliseconds retry_after{0};
  /// Whether the upstream itself refused.
  bool reached_upstream = false;
  std::optional<DestinationTimes> times;
};
[[nodiscard]] std::string FormatTimes(const DestinationTimes& times);
/// \returns Unset when `text` is not what `FormatTimes` writes.
[[nodiscard]] std::optional<DestinationTimes> ParseTimes(std::string_view text);
[[nodiscard]] Outcome ReadOutcome(const MessageHead& head);

/// \returns The reason phrase of a status that the system answers with.
[[nodiscard]] std::string_view PhraseOf(std::uint16_t status) noexcept;

/// \returns The answer that says that a request was not run.
[[nodiscard]] MessageHead NotRunHead(NotRunReason reason,
                                     Milliseconds retry_after);
/// \returns The answer that says that a request may have been run.
[[nodiscard]] MessageHead UnknownHead();
/// \returns The answer to a fetch that finds the attempt running.
[[nodiscard]] MessageHead StillRunningHead();
/// \returns The answer to a message that cannot be taken, with `status`.
[[nodiscard]] MessageHead RefusalHead(std::uint16_t status);

/// \returns A JSON body that explains an answer of the system itself.
[[nodiscard]] std::string ExplanationBody(std::string_view outcome,
                                          std::string_view reason,
                                          std::string_view detail);

/// \returns The value of a header in seconds or milliseconds; zero when it is
/// absent or not a number.
[[nodiscard]] Milliseconds ReadRetryAfter(const MessageHead& head);

}  // namespace cassiabend
