#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cassiabend/base/time.h"
#include "cassiabend/core/destination_times.h"
#include "cassiabend/core/placement/speed_expectation.h"

namespace cassiabend {

/// \brief Locality of an upstream relative to this node.
/// Values are ordered from near to far.
enum class Locality : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };
inline constexpr std::size_t kLocalityLevels = 3;

/// \brief Cost of transferring an answer, as the waiting time that is accepted
/// to avoid the transfer.
struct TransferCosts {
  /// Per kilobyte of an answer from another zone of the region.
  Microseconds same_region_kilobyte{0};
  /// Per kilobyte of an answer from another region.
  Microseconds other_region_kilobyte{0};
};

/// \brief One node's observations of one upstream's speed, failures and load.
struct UpstreamStats {
  /// Moving average of the ratio of service times to the mean of their class.
  double relative_service_time = 1.0;
  /// Moving average of the share of attempts that failed, 0 to 1.
  double failure_rate = 0.0;
  /// When an answer or a failure was last recorded.
  MonoTime observed_at{};
  /// Load that the destination reported last, in thousandths of its slots, and
  /// the number of attempts sent there since.
  std::uint16_t load_permille = 0;
  std::uint32_t sent_since_load = 0;
  MonoTime load_reported_at{};
  /// Kept with `CallOptions::place_by_completion` only.
  SpeedExpectation speed;
};

/// \brief What is expected of an upstream at the moment.
struct UpstreamExpectation {
  /// Service time as a factor on the mean of its service.
  double service_time_factor = 1.0;
  /// Running and waiting calls as a share of its slots.
  double load = 0.0;
};

/// \brief Estimates the cost of sending a call to an upstream: the expected
/// time to its answer plus the cost of transferring the answer. This balances
/// load that is uneven between zones: an upstream of the own zone is used until
/// waiting there costs more than the network round trip to another, an upstream
/// that slows down gets fewer calls before it fails, and large answers stay
/// near. Observations decay, so that an upstream that has recovered is tried
/// again.
class CostModel {
 public:
  explicit CostModel(const TransferCosts& transfer_costs)
      : transfer_costs_(transfer_costs) {}

  /// \brief Sets the call whose upstreams `Cost` compares.
  /// \param objective Time left until the latency objective; 0 for none.
  void SetCall(std::string_view service,
               std::string_view request_class,
               Milliseconds objective);
  /// \brief Estimates the cost of picking an upstream for the present call.
  /// \param slots Calls that the upstream runs at the same time.
  /// \returns The expected time to the answer in milliseconds, where time well
  /// within the objective counts less, plus the cost of transferring the
  /// answer.
  [[nodiscard]] double Cost(MonoTime now,
                            Locality locality,
                            std::uint32_t slots,
                            const UpstreamStats& stats) const;
  /// \brief The same with an expectation from elsewhere.
  [[nodiscard]] double Cost(MonoTime now,
                            Locality locality,
                            std::uint32_t slots,
                            const UpstreamStats& stats,
                            const UpstreamExpectation& expected) const;

  /// \brief Records that an attempt was sent.
  static void RecordStart(UpstreamStats* stats) noexcept {
    ++stats->sent_since_load;
  }
  /// \brief Records an answer.
  /// \param latency Time from sending the attempt to its answer.
  /// \returns Its service time as a factor on the mean of its class.
  double RecordAnswer(MonoTime now,
                      std::string_view service,
                      std::string_view request_class,
                      Locality locality,
                      Nanoseconds latency,
                      const DestinationTimes& times,
                      UpstreamStats* stats);
  /// \brief Records an attempt that failed or was answered with an error.
  static void RecordFailure(MonoTime now, UpstreamStats* stats) noexcept;
  /// \brief Records the load that a destination reports.
  static void RecordLoad(MonoTime now,
                         std::uint16_t load_permille,
                         UpstreamStats* stats) noexcept;
  /// \brief Records the size of an answer's body.
  void RecordAnswerSize(std::string_view service,
                        std::string_view request_class,
                        std::uint64_t bytes);

 private:
  /// \brief Moving averages over the calls of one class at one service, for all
  /// upstreams together.
  struct ClassAverages {
    double service_ms = 0.0;
    double kilobytes = 0.0;
  };

  [[nodiscard]] ClassAverages* AveragesOf(std::string_view service,
                                          std::string_view request_class);
  static void RecordRelativeServiceTime(MonoTime now,
                                        double sample,
                                        UpstreamStats* stats) noexcept;
  [[nodiscard]] double TransferMsPerKilobyte(Locality locality) const noexcept;

  TransferCosts transfer_costs_;
  std::unordered_map<std::string, ClassAverages> classes_;
  /// Mean service time of each service over all classes, in milliseconds.
  std::unordered_map<std::string, double> services_;
  /// Mean time of an attempt outside its destination node, both ways, by
  /// locality.
  std::array<double, kLocalityLevels> network_ms_{};
  /// Buffer for lookup keys, which avoids an allocation for each lookup.
  std::string key_;
  // State of the present call: the averages of its class, the mean service time
  // of its service, and the time that counts less because it is well within the
  // objective.
  ClassAverages class_averages_;
  double service_mean_ms_ = 0.0;
  double discounted_ms_ = 0.0;
};

}  // namespace cassiabend
