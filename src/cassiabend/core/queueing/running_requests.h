#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cassiabend {

/// \brief Requests that run at this host's upstream, by which calls that the
/// upstream makes for them are recognised although they state no depth.
///
/// Load pattern: see `QueueRank`; upstreams pass on none of the headers of the
/// run. Many form the request id of a call from that of the run: the run's, one
/// separator, and an id of its own. A caller that forges such an id gains a
/// place in a queue and nothing else.
class RunningRequests {
 public:
  void Add(const std::string& request_id, std::uint8_t depth);
  void Remove(const std::string& request_id);
  /// \returns The depth of a call with this request id: one more than that of
  /// the run for which it is made; unset if it is made for none.
  [[nodiscard]] std::optional<std::uint8_t> DepthOf(
      std::string_view request_id) const;

 private:
  struct Run {
    std::uint8_t depth = 0;
    /// Attempts with this request id.
    std::uint32_t attempts = 0;
  };

  std::unordered_map<std::string, Run> runs_;
};

}  // namespace cassiabend
