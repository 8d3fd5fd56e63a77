#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief A stretch of time during which a zone's offset stays the same.
struct OffsetPeriod {
  WallTime begin{};
  /// Exclusive.
  WallTime end{};
  /// Local time is UTC plus this.
  Seconds offset{0};

  [[nodiscard]] bool operator==(const OffsetPeriod&) const = default;
};

/// \brief A zone rule with its daylight saving, ready to be evaluated.
class TimeZone {
 public:
  /// \throws ModelError when `rule` is not a zone rule.
  explicit TimeZone(std::string_view rule);

  /// \returns The periods that touch [from, to), in order and without holes.
  [[nodiscard]] std::vector<OffsetPeriod> Periods(WallTime from,
                                                  WallTime to) const;

 private:
  struct Rule;
  std::shared_ptr<const Rule> rule_;
};

}  // namespace cassiabend
