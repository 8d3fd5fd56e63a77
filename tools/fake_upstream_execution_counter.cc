#include "tools/fake_upstream_execution_counter.h"

namespace cassiabend {
namespace {

std::uint64_t Find(const std::map<std::string, std::uint64_t>& counts,
                   const std::string& name) {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace

void ExecutionCounter::RecordExecution(const std::string& key,
                                       const std::string& attempt,
                                       const std::string& tag) {
  ++total_;
  if (!key.empty() && ++by_key_[key] > 1) {
    ++duplicates_;
  }
  if (!attempt.empty()) {
    ++by_attempt_[attempt];
  }
  if (!tag.empty()) {
    ++by_tag_[tag];
  }
}

std::uint64_t ExecutionCounter::CountOfKey(const std::string& key) const {
  return Find(by_key_, key);
}

std::uint64_t ExecutionCounter::CountOfAttempt(
    const std::string& attempt) const {
  return Find(by_attempt_, attempt);
}

boost::json::object ExecutionCounter::ToJson() const {
  boost::json::object by_key;
  for (const auto& [key, n] : by_key_) {
    by_key[key] = n;
  }
  boost::json::object by_attempt;
  for (const auto& [attempt, n] : by_attempt_) {
    by_attempt[attempt] = n;
  }
  boost::json::object by_tag;
  for (const auto& [tag, n] : by_tag_) {
    by_tag[tag] = n;
  }
  return {{"total", total_},         {"duplicates", duplicates_},
          {"cancelled", cancelled_}, {"shed", shed_},
          {"by_key", by_key},        {"by_attempt", by_attempt},
          {"by_tag", by_tag}};
}

}  // namespace cassiabend
