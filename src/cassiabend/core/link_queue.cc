#include "cassiabend/core/link_queue.h"

#include "cassiabend/core/large_answer.h"

namespace cassiabend {
namespace {

/// Weight of the newest answer in the mean of its class.
constexpr double kNewestWeight = 0.05;
/// Most classes whose mean size is kept, so that class names cannot grow the
/// table.
constexpr std::size_t kMaxClasses = 1'024;

}  // namespace

void LinkQueue::RecordAnswerSize(const std::string& request_class,
                                 std::uint64_t bytes) {
  const auto found = sizes_.find(request_class);
  const auto size = static_cast<double>(bytes);
  if (found != sizes_.end()) {
    found->second += (size - found->second) * kNewestWeight;
  } else if (sizes_.size() < kMaxClasses) {
    sizes_.emplace(request_class, size);
  }
}

std::uint64_t LinkQueue::LargeBytesOf(const std::string& request_class) const {
  const auto found = sizes_.find(request_class);
  const bool is_large =
      found != sizes_.end() && found->second >= kLargeAnswerBytes;
  return is_large ? static_cast<std::uint64_t>(found->second) : 0;
}

Nanoseconds LinkQueue::SendTime(std::uint64_t bytes) const noexcept {
  if (bytes_per_second_ == 0) {
    return Nanoseconds(0);
  }
  const std::chrono::duration<double> time(
      static_cast<double>(bytes) / static_cast<double>(bytes_per_second_));
  return std::chrono::duration_cast<Nanoseconds>(time);
}

}  // namespace cassiabend
