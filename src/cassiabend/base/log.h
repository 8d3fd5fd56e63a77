#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace cassiabend {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// \brief One named value of a log line.
struct LogField {
  using Value =
      std::variant<std::int64_t, std::uint64_t, double, bool, std::string_view>;

  LogField(std::string_view field_name, bool field_value)
      : name(field_name), value(field_value) {}
  LogField(std::string_view field_name, double field_value)
      : name(field_name), value(field_value) {}
  LogField(std::string_view field_name, std::string_view field_value)
      : name(field_name), value(field_value) {}
  LogField(std::string_view field_name, const std::string& field_value)
      : name(field_name), value(std::string_view(field_value)) {}
  LogField(std::string_view field_name, const char* field_value)
      : name(field_name), value(std::string_view(field_value)) {}
  template <std::signed_integral T>
  LogField(std::string_view field_name, T field_value)
      : name(field_name), value(static_cast<std::int64_t>(field_value)) {}
  template <std::unsigned_integral T>
  requires(!std::same_as<T, bool>)
      LogField(std::string_view field_name, T field_value)
      : name(field_name), value(static_cast<std::uint64_t>(field_value)) {}

  std::string_view name;
  Value value;
};

/// \brief Where log lines are written. Programs that print results to standard
/// output log to standard error.
enum class LogTarget : std::uint8_t { kStandardError, kStandardOutput };

/// \brief Sets up logging, one JSON object per line. A reader that stops
/// reading does not block the program: lines that exceed a bounded buffer are
/// dropped and counted.
/// \param program Name of the program, written into each line.
/// \param level Lines below this level are dropped.
void InitializeLog(std::string_view program,
                   LogLevel level,
                   LogTarget target = LogTarget::kStandardError);

/// \returns The number of lines dropped because the reader was too slow.
[[nodiscard]] std::uint64_t DroppedLogLines();

/// \returns The number of lines dropped because their event was too frequent.
[[nodiscard]] std::uint64_t SuppressedLogLines();

/// \brief Changes the level at run time.
void SetLogLevel(LogLevel level) noexcept;

/// \brief Writes one line. Lines of one event name beyond
/// `kLogLinesPerEventPerSecond` are dropped; the next one that is written
/// states their number as "suppressed".
/// \param event Stable name of the event, in snake_case.
/// \param fields Further values, without secrets.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

inline constexpr int kLogLinesPerEventPerSecond = 20;

}  // namespace cassiabend
