#include "cassiabend/base/log.h"

#include <easylogging++.h>
#include <unistd.h>

#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>

#include "cassiabend/base/line_writer.h"

INITIALIZE_EASYLOGGINGPP

namespace cassiabend {
namespace {

/// \brief Limits the lines of each event name per second.
class LineLimiter {
 public:
  /// \param suppressed If the line may be written, set to the number of lines
  /// of this event that were suppressed since the last one that was written.
  /// \returns Whether the line may be written.
  bool Admit(std::string_view event, std::uint64_t* suppressed) {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    auto it = windows_.find(event);
    if (it == windows_.end()) {
      it = windows_.emplace(std::string(event), Window{now, 0, 0}).first;
    }
    Window& window = it->second;
    if (now - window.start >= std::chrono::seconds(1)) {
      window.start = now;
      window.lines = 0;
    }
    if (window.lines >= kLogLinesPerEventPerSecond) {
      ++window.suppressed;
      ++total_suppressed_;
      return false;
    }
    ++window.lines;
    *suppressed = window.suppressed;
    window.suppressed = 0;
    return true;
  }

  [[nodiscard]] std::uint64_t suppressed() const {
    const std::lock_guard lock(mutex_);
    return total_suppressed_;
  }

 private:
  struct Window {
    std::chrono::steady_clock::time_point start;
    int lines = 0;
    std::uint64_t suppressed = 0;
  };

  mutable std::mutex mutex_;
  std::map<std::string, Window, std::less<>> windows_;
  std::uint64_t total_suppressed_ = 0;
};

/// Size of the buffer for lines that wait for a slow reader.
constexpr std::size_t kLogBufferBytes = std::size_t{256} * 1024;

/// \returns The writer of the log's target, standard error by default.
std::unique_ptr<LineWriter>& Writer() {
  static auto writer =
      std::make_unique<LineWriter>(STDERR_FILENO, kLogBufferBytes);
  return writer;
}

std::atomic<LogLevel> g_level{LogLevel::kInfo};

std::string& ProgramName() {
  static std::string name;
  return name;
}

LineLimiter& Limiter() {
  static LineLimiter limiter;
  return limiter;
}

std::string_view LevelName(LogLevel level) noexcept {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

boost::json::value ToJson(const LogField::Value& value) {
  return std::visit([](const auto& it) { return boost::json::value(it); },
                    value);
}

std::string Timestamp() {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto day = std::chrono::floor<std::chrono::days>(now);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(now - day);
  char buf[64];
  std::snprintf(
      buf, sizeof(buf), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
      static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
      static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
      static_cast<int>(time.minutes().count()),
      static_cast<int>(time.seconds().count()),
      static_cast<int>(time.subseconds().count()));
  return buf;
}

void Write(LogLevel level, const std::string& line) {
  switch (level) {
    case LogLevel::kDebug:
    case LogLevel::kInfo:
      LOG(INFO) << line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace

void InitializeLog(std::string_view program, LogLevel level, LogTarget target) {
  Writer() = std::make_unique<LineWriter>(
      target == LogTarget::kStandardError ? STDERR_FILENO : STDOUT_FILENO,
      kLogBufferBytes);
  ProgramName() = program;
  g_level = level;
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Format, "%msg");
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  // The output of easylogging++ blocks on a slow reader, so lines go through a
  // `LineWriter` instead.
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(conf);
  class LineDispatcher : public el::LogDispatchCallback {
   protected:
    void handle(const el::LogDispatchData* data) override {
      Writer()->Write(data->logMessage()->message());
    }
  };
  el::Helpers::installLogDispatchCallback<LineDispatcher>("line_writer");
}

void SetLogLevel(LogLevel level) noexcept {
  g_level = level;
}

std::uint64_t DroppedLogLines() {
  return Writer()->dropped();
}

std::uint64_t SuppressedLogLines() {
  return Limiter().suppressed();
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < g_level.load()) {
    return;
  }
  std::uint64_t suppressed = 0;
  if (!Limiter().Admit(event, &suppressed)) {
    return;
  }
  boost::json::object line;
  line["time"] = Timestamp();
  line["level"] = LevelName(level);
  line["program"] = ProgramName();
  line["event"] = event;
  for (const LogField& it : fields) {
    line[it.name] = ToJson(it.value);
  }
  if (suppressed != 0) {
    line["suppressed"] = suppressed;
  }
  Write(level, boost::json::serialize(line));
}

}  // namespace cassiabend
