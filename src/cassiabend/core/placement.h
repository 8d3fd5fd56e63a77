#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cassiabend/base/time.h"
#include "cassiabend/core/destination_times.h"

namespace cassiabend {

/// \brief How near an upstream is to this node.
enum class Nearness : std::uint8_t { kZone, kRegion, kBeyond };
inline constexpr std::size_t kNearnessLevels = 3;

/// \brief Price of moving an answer, as the time that saving it is worth.
struct PlacementPrices {
  /// For each kilobyte of an answer from another zone of the region.
  Microseconds region_kilobyte{0};
  /// For each kilobyte of an answer from another region.
  Microseconds beyond_kilobyte{0};
};

/// \brief What one node has seen of one upstream's speed.
struct UpstreamSpeed {
  /// Service time against the mean of its class, where 1 is the mean.
  double slowness = 1.0;
  /// Share of attempts that failed, newest first.
  double failures = 0.0;
  /// When either was seen last.
  MonoTime seen_at{};
  /// Load that the destination stated last, and the calls sent since.
  std::uint16_t load_permille = 0;
  std::uint32_t sent_since = 0;
  MonoTime load_at{};
};

/// \brief Estimates when a call would be answered at an upstream, and adds the
/// price of the answer's bytes. Answers loads that are uneven between zones: a
/// zone's own upstream is used until waiting there costs more than the way to
/// another, an upstream that slowed down gets less before it fails, and large
/// answers stay near. What was seen fades, so that one that has recovered is
/// tried again.
class Placement {
 public:
  explicit Placement(const PlacementPrices& prices) : prices_(prices) {}

  /// \brief Begins a choice among the upstreams of one service.
  /// \param objective Time within which the answer is worth most; 0 for none.
  void StartChoice(std::string_view service,
                   std::string_view request_class,
                   Milliseconds objective);
  /// \returns What choosing an upstream costs: the expected time to the answer,
  /// in milliseconds, where time that is well within the objective counts less,
  /// and the price of its bytes.
  /// \param slots Calls that the upstream runs at the same time.
  [[nodiscard]] double Cost(MonoTime now,
                            Nearness nearness,
                            std::uint32_t slots,
                            const UpstreamSpeed& speed) const;

  /// \brief Notes that an attempt was sent.
  static void RecordStart(UpstreamSpeed* speed) noexcept {
    ++speed->sent_since;
  }
  /// \brief Notes an answer.
  /// \param latency Time from the attempt's sending to its answer.
  void RecordAnswer(MonoTime now,
                    std::string_view service,
                    std::string_view request_class,
                    Nearness nearness,
                    Nanoseconds latency,
                    const DestinationTimes& times,
                    UpstreamSpeed* speed);
  /// \brief Notes an attempt that failed or was answered with an error.
  static void RecordFailure(MonoTime now, UpstreamSpeed* speed) noexcept;
  /// \brief Notes the load that a destination states.
  static void RecordLoad(MonoTime now,
                         std::uint16_t load_permille,
                         UpstreamSpeed* speed) noexcept;
  /// \brief Notes the size of an answer's body.
  void RecordBytes(std::string_view service,
                   std::string_view request_class,
                   std::uint64_t bytes);

 private:
  /// \brief Means of the calls of one class at one service, over all upstreams.
  struct ClassMeans {
    double service_ms = 0.0;
    double kilobytes = 0.0;
  };

  [[nodiscard]] ClassMeans* MeansOf(std::string_view service,
                                    std::string_view request_class);
  static void AddSlowness(MonoTime now,
                          double sample,
                          UpstreamSpeed* speed) noexcept;
  [[nodiscard]] double PriceMs(Nearness nearness) const noexcept;

  PlacementPrices prices_;
  std::unordered_map<std::string, ClassMeans> classes_;
  /// Mean service time of each service, over all classes.
  std::unordered_map<std::string, double> services_;
  /// Time on the way, there and back.
  std::array<double, kNearnessLevels> way_ms_{};
  /// Scratch space for keys, so that a lookup allocates nothing.
  std::string key_;
  // The present choice.
  ClassMeans means_;
  double any_ms_ = 0.0;
  double calm_ms_ = 0.0;
};

}  // namespace cassiabend
