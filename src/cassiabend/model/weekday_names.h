#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace cassiabend {

/// \brief Names of the weekdays, indexed by the bits of
/// `WeeklySchedule::weekdays`.
inline constexpr std::array<std::string_view, 7> kWeekdayNames = {
    "sunday",   "monday", "tuesday", "wednesday",
    "thursday", "friday", "saturday"};
/// Length in characters of the short form of a weekday, such as "mon".
inline constexpr std::size_t kShortWeekdayLength = 3;

}  // namespace cassiabend
