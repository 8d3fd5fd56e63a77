#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Recognises callers that were refused and come back: they state what
/// is left of the same time, so their call ends at the same moment as the
/// refused one. Answers overload: a caller that has come back is late for its
/// objective, and must not pass for a new one that can still meet it.
class ReturnLedger {
 public:
  /// \brief Notes a call that was refused and may come back.
  /// \param asked_at When its caller asked first.
  /// \param end When its caller gives up.
  void Note(const std::string& route,
            MonoTime now,
            MonoTime asked_at,
            MonoTime end);
  /// \brief Takes the refused call that one with this end repeats.
  /// \returns When its caller asked first; unset for a new one.
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
