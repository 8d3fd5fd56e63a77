#include "cassiabend/core/queueing/running_requests.h"

#include <algorithm>
#include <limits>

namespace cassiabend {
namespace {

/// Characters that part the run's request id from the call's own.
constexpr std::string_view kSeparators = ".-:/_";

}  // namespace

void RunningRequests::Add(const std::string& request_id, std::uint8_t depth) {
  if (request_id.empty()) {
    return;
  }
  Run& run = runs_[request_id];
  run.depth = std::max(run.depth, depth);
  ++run.attempts;
}

void RunningRequests::Remove(const std::string& request_id) {
  const auto it = runs_.find(request_id);
  if (it != runs_.end() && --it->second.attempts == 0) {
    runs_.erase(it);
  }
}

std::optional<std::uint8_t> RunningRequests::DepthOf(
    std::string_view request_id) const {
  if (runs_.empty()) {
    return std::nullopt;
  }
  const std::size_t end = request_id.find_last_of(kSeparators);
  if (end == std::string_view::npos || end + 1 == request_id.size()) {
    return std::nullopt;
  }
  const auto it = runs_.find(std::string(request_id.substr(0, end)));
  if (it == runs_.end()) {
    return std::nullopt;
  }
  constexpr std::uint8_t kMax = std::numeric_limits<std::uint8_t>::max();
  return it->second.depth == kMax
             ? kMax
             : static_cast<std::uint8_t>(it->second.depth + 1);
}

}  // namespace cassiabend
