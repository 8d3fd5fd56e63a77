#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace cassiabend {

/// \brief Counts a fake upstream's executions, so that tests can check that no
/// order ran twice and no call ran that was reported as not run.
class ExecutionCounter {
 public:
  /// \brief Counts the start of a request's execution.
  /// \param key Idempotency key; may be empty.
  /// \param attempt Value of the request's X-Request-Id; may be empty.
  /// \param tag The caller's own id of the request; may be empty.
  void RecordExecution(const std::string& key,
                       const std::string& attempt,
                       const std::string& tag = {});
  void RecordCancellation() noexcept { ++cancelled_; }
  void RecordShed() noexcept { ++shed_; }

  [[nodiscard]] std::uint64_t total() const noexcept { return total_; }
  [[nodiscard]] std::uint64_t duplicates() const noexcept {
    return duplicates_;
  }
  [[nodiscard]] std::uint64_t cancelled() const noexcept { return cancelled_; }
  [[nodiscard]] std::uint64_t shed() const noexcept { return shed_; }
  [[nodiscard]] std::uint64_t CountOfKey(const std::string& key) const;
  [[nodiscard]] std::uint64_t CountOfAttempt(const std::string& attempt) const;
  [[nodiscard]] boost::json::object ToJson() const;

 private:
  using Counts = std::map<std::string, std::uint64_t>;

  Counts by_key_;
  Counts by_attempt_;
  Counts by_tag_;
  std::uint64_t total_ = 0;
  /// Executions of a key after its first.
  std::uint64_t duplicates_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t shed_ = 0;
};

}  // namespace cassiabend
