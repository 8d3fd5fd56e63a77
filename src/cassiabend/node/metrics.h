#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/call_reducer.h"
#include "cassiabend/core/event.h"
#include "cassiabend/core/fleet_reducer.h"
#include "cassiabend/core/placement/traffic_split.h"
#include "cassiabend/http/call_server.h"
#include "cassiabend/rpc/peer_transport.h"
#include "cassiabend/store/store_client.h"

namespace cassiabend {

/// \brief Values that are collected at each scrape of the metrics.
struct NodeReadings {
  /// Number of the version in force; 0 for none.
  VersionNumber config_version = 0;
  /// Age of the newest confirmation of the head; unset for none.
  std::optional<Nanoseconds> confirmed_age;
  bool ready = false;
  /// Whether the node reads the store for its zone.
  bool reader = false;
  std::map<std::string, std::size_t> members_by_status;
  /// When the version in force was applied; the epoch for none.
  WallTime applied_at{};
  CallCounts calls;
  FleetCounts fleet;
  /// Bytes of configuration exchanged with other regions.
  std::uint64_t cross_region_bytes = 0;
  CallServerCounts call_server;
  PeerTraffic traffic;
  TrafficSplit::Counts traffic_split{};
  StoreClientCounts store;
  std::uint64_t events = 0;
  /// User and system CPU time of the process.
  Nanoseconds cpu{0};
  std::uint64_t resident_bytes = 0;
  /// Log lines dropped because the reader of the log was too slow, and because
  /// their event was too frequent.
  std::uint64_t log_lines_unread = 0;
  std::uint64_t log_lines_too_frequent = 0;
};

/// \brief The metrics of one node, in the Prometheus text format.
class NodeMetrics {
 public:
  /// \param read Returns the current values; called at each scrape.
  explicit NodeMetrics(std::function<NodeReadings()> read);
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;
  ~NodeMetrics();

  /// \returns All metrics in the Prometheus text format.
  [[nodiscard]] std::string Scrape() const;

  /// \brief Records the outcome and the latency of one call.
  void Record(const CallEnded& ended);
  /// \brief Counts the outcome of an operator's request.
  void Record(const CommitFinished& finished);

 private:
  using CounterKey =
      std::tuple<std::string, std::string, std::string, std::string>;
  using ClassKey = std::tuple<std::string, std::string>;
  /// \brief Latency histograms of one team and request class.
  struct ClassHistograms {
    /// Time from the arrival of a call to its end.
    prometheus::Histogram* total = nullptr;
    /// One histogram for each of `kPhases`, in that order.
    std::vector<prometheus::Histogram*> phases;
  };

  prometheus::Counter& CallCounter(const CallEnded& ended);
  ClassHistograms& HistogramsOf(const CallEnded& ended);

  prometheus::Registry registry_;
  std::shared_ptr<prometheus::Collectable> readings_;
  prometheus::Family<prometheus::Counter>* calls_;
  prometheus::Family<prometheus::Histogram>* latency_;
  prometheus::Family<prometheus::Histogram>* phases_;
  prometheus::Family<prometheus::Counter>* changes_;
  std::map<CounterKey, prometheus::Counter*> call_counters_;
  std::map<ClassKey, ClassHistograms> call_histograms_;
};

/// \returns User and system CPU time of this process.
[[nodiscard]] Nanoseconds ProcessCpuTime() noexcept;
/// \returns Resident memory of this process, in bytes; 0 when unknown.
[[nodiscard]] std::uint64_t ProcessResidentBytes();

}  // namespace cassiabend
