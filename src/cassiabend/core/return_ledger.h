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
class ReturnLedger {
 public:
  /// \brief Records a call that was refused and may be retried.
  /// \param asked_at When its caller first sent it.
  /// \param end The caller's deadline.
  void Note(const std::string& route,
            MonoTime now,
            MonoTime asked_at,
            MonoTime end);
  /// \brief Finds and removes the refused call that a call with this deadline
  /// retries.
  /// \returns When its caller first sent it; unset for a new call.
  [[nodiscard]] std::optional<MonoTime> Take(const std::string& route,
                                             MonoTime now,
                                             MonoTime end);

 private:
  struct Refused {
    MonoTime refused_at;
    MonoTime asked_at;
    MonoTime end;
  };

  std::unordered_map<std::string, std::deque<Refused>> by_route_;
};

}  // namespace cassiabend
