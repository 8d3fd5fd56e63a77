#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Recognises callers that retry after a refusal: they state the time
/// left to the same deadline, so the deadlines of the retry and of the refused
/// call coincide. Under overload, a caller that retries is late for its latency
/// objective and must not count as a new one that can still meet it.
class RefusedCalls {
 public:
  /// \brief Records a call that was refused and may be retried.
  /// \param first_sent_at When its caller first sent it.
  /// \param caller_deadline The caller's deadline.
  void Record(const std::string& route,
              MonoTime now,
              MonoTime first_sent_at,
              MonoTime caller_deadline);
  /// \brief Finds and removes the refused call that a call with this deadline
  /// retries.
  /// \returns When its caller first sent it; unset for a new call.
  [[nodiscard]] std::optional<MonoTime> TakeRetried(const std::string& route,
                                                    MonoTime now,
                                                    MonoTime caller_deadline);

 private:
  struct RefusedCall {
    MonoTime refused_at;
    MonoTime first_sent_at;
    MonoTime caller_deadline;
  };

  std::unordered_map<std::string, std::deque<RefusedCall>> by_route_;
};

}  // namespace cassiabend
