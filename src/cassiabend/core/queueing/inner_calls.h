#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "cassiabend/core/call_events.h"

namespace cassiabend {

/// \brief Which attempts count as inner calls: calls of an upstream for which a
/// run waits. The values are those of the setting `inner_calls`.
enum class InnerCallMode : std::uint8_t {
  /// None.
  kOff,
  /// Those with a depth, which the call states or its request id shows.
  kStated,
  /// While no attempt has a depth, also those of routes on which only upstreams
  /// call, as `InnerCalls` learns.
  kLearnt,
};

/// \brief Recognises inner calls at their destination.
///
/// Load pattern: runs fail, after all their work, because their inner calls
/// wait behind new work. Upstreams that pass on no depth can still be told from
/// other callers where both enter at the same hosts: other callers enter at
/// hosts of every service, but an upstream only at hosts of its own. So a route
/// is an inner one if attempts of other routes come from hosts of services from
/// which it gets none, and if chance does not explain that.
class InnerCalls {
 public:
  explicit InnerCalls(InnerCallMode mode) : mode_(mode) {}

  /// \brief Counts an attempt that has arrived.
  void Record(const AttemptRequest& request);
  [[nodiscard]] bool IsInner(const AttemptRequest& request) const;

 private:
  /// \brief Attempts by the service of the host at which they entered.
  struct Callers {
    std::map<std::string, double> attempts;
    double total = 0;

    void Add(const std::string& service);
    /// \brief Halves all counts once there are more than `limit`, so that older
    /// attempts count less.
    void Age(double limit);
  };

  /// \returns The logarithm of how unlikely it is that callers of the other
  /// routes send the attempts of `route` too; 0 if they may.
  [[nodiscard]] double EvidenceOf(const Callers& route) const;

  InnerCallMode mode_;
  /// Whether an attempt had a depth, so that nothing need be learnt.
  bool states_depth_ = false;
  Callers all_;
  std::unordered_map<std::string, Callers> by_route_;
};

}  // namespace cassiabend
