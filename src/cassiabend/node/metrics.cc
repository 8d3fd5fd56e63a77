#include "cassiabend/node/metrics.h"

#include <prometheus/collectable.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <utility>

namespace cassiabend {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

/// \returns The upper bounds of the latency buckets, in seconds.
prometheus::Histogram::BucketBoundaries LatencyBuckets() {
  return {0.0001, 0.00025, 0.0005, 0.00092, 0.0015, 0.0025, 0.005, 0.01,
          0.025,  0.05,    0.1,    0.25,    0.5,    1.0,    2.5,   5.0};
}

double ToSeconds(Nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

ClientMetric MakeMetric(MetricType type, double value) {
  ClientMetric metric;
  if (type == MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
  return metric;
}

MetricFamily MakeSingleValueFamily(const std::string& name,
                                   const std::string& help,
                                   MetricType type,
                                   double value) {
  return {name, help, type, {MakeMetric(type, value)}};
}

/// \brief One value of a metric family and the labels that identify it.
struct LabelledValue {
  std::vector<ClientMetric::Label> labels;
  double value = 0;
};

MetricFamily MakeLabelledFamily(const std::string& name,
                                const std::string& help,
                                MetricType type,
                                const std::vector<LabelledValue>& values) {
  MetricFamily out{name, help, type, {}};
  for (const LabelledValue& it : values) {
    out.metric.push_back(MakeMetric(type, it.value));
    out.metric.back().label = it.labels;
  }
  return out;
}

/// \brief Exports one member of the struct `Group` as a metric.
template <typename Group>
struct CountMetric {
  const char* name;
  const char* help;
  MetricType type;
  std::uint64_t Group::*member;
};

constexpr auto kStoreMetrics = std::to_array<CountMetric<StoreClientCounts>>({
    {"cassiabend_store_calls_total", "Calls to the key-value service.",
     MetricType::Counter, &StoreClientCounts::calls},
    {"cassiabend_store_failures_total",
     "Calls to the key-value service that failed.", MetricType::Counter,
     &StoreClientCounts::failures},
    {"cassiabend_store_unknown_total",
     "Writes to the key-value service whose outcome is unknown.",
     MetricType::Counter, &StoreClientCounts::unknown_outcomes},
    {"cassiabend_store_sent_bytes_total",
     "Bytes sent to the key-value service.", MetricType::Counter,
     &StoreClientCounts::bytes_sent},
    {"cassiabend_store_received_bytes_total",
     "Bytes received from the key-value service.", MetricType::Counter,
     &StoreClientCounts::bytes_received},
});

constexpr auto kFleetMetrics = std::to_array<CountMetric<FleetCounts>>({
    {"cassiabend_unreachable_zones", "Availability zones out of reach.",
     MetricType::Gauge, &FleetCounts::unreachable_zones},
    {"cassiabend_children", "Nodes that take versions from this one.",
     MetricType::Gauge, &FleetCounts::children},
    {"cassiabend_forks_total",
     "Versions refused for having the number in force and another content.",
     MetricType::Counter, &FleetCounts::forks},
    {"cassiabend_damaged_versions_total",
     "Versions refused for not matching their hash.", MetricType::Counter,
     &FleetCounts::damaged},
});

constexpr auto kServerMetrics = std::to_array<CountMetric<CallServerCounts>>({
    {"cassiabend_connections_total", "Connections accepted on the call port.",
     MetricType::Counter, &CallServerCounts::connections},
    {"cassiabend_open_connections", "Open connections on the call port.",
     MetricType::Gauge, &CallServerCounts::open_connections},
    {"cassiabend_rejected_requests_total",
     "Requests refused as malformed or over a limit.", MetricType::Counter,
     &CallServerCounts::rejected_requests},
    {"cassiabend_pipelined_requests_total",
     "Requests that arrived before an earlier one of their connection was "
     "answered.",
     MetricType::Counter, &CallServerCounts::pipelined_requests},
    {"cassiabend_relayed_bytes_total", "Bytes of answers relayed.",
     MetricType::Counter, &CallServerCounts::relayed_bytes},
    {"cassiabend_held_bytes", "Bytes of requests and answers held.",
     MetricType::Gauge, &CallServerCounts::held_bytes},
    {"cassiabend_large_answers_total", "Large answers that left.",
     MetricType::Counter, &CallServerCounts::large_answers},
    {"cassiabend_large_answer_link_milliseconds_total",
     "Time that large answers took to leave over this host's link.",
     MetricType::Counter, &CallServerCounts::large_answer_ms},
    {"cassiabend_link_waiting_bytes",
     "Bytes of large answers that wait for this host's link.",
     MetricType::Gauge, &CallServerCounts::link_waiting_bytes},
});

/// \brief Exports the bytes that nodes exchange for one purpose.
struct TrafficMetric {
  const char* purpose;
  std::uint64_t PeerTraffic::*sent;
  std::uint64_t PeerTraffic::*received;
};

constexpr TrafficMetric kTrafficMetrics[] = {
    {"membership", &PeerTraffic::membership_bytes_sent,
     &PeerTraffic::membership_bytes_received},
    {"beat", &PeerTraffic::heartbeat_bytes_sent,
     &PeerTraffic::heartbeat_bytes_received},
    {"config", &PeerTraffic::config_bytes_sent,
     &PeerTraffic::config_bytes_received},
};

/// \brief Converts the node's readings to metric families at each scrape.
class ReadingsCollectable final : public prometheus::Collectable {
 public:
  explicit ReadingsCollectable(std::function<NodeReadings()> read)
      : read_(std::move(read)) {}

  [[nodiscard]] std::vector<MetricFamily> Collect() const override {
    const NodeReadings readings = read_();
    std::vector<MetricFamily> out;
    AddState(readings, &out);
    AddMembers(readings, &out);
    AddCalls(readings.calls, &out);
    AddBudgets(readings.calls, &out);
    AddAllotments(readings.calls, &out);
    AddStoreReplies(readings.store, &out);
    AddLogLines(readings, &out);
    AddTraffic(readings.traffic, &out);
    AddTrafficSplit(readings.traffic_split, &out);
    AddCounts(kFleetMetrics, readings.fleet, &out);
    AddCounts(kStoreMetrics, readings.store, &out);
    AddCounts(kServerMetrics, readings.call_server, &out);
    return out;
  }

 private:
  template <typename Group, std::size_t kSize>
  static void AddCounts(const std::array<CountMetric<Group>, kSize>& table,
                        const Group& group,
                        std::vector<MetricFamily>* out) {
    for (const CountMetric<Group>& it : table) {
      const auto value = static_cast<double>(group.*it.member);
      out->push_back(MakeSingleValueFamily(it.name, it.help, it.type, value));
    }
  }

  static void AddState(const NodeReadings& readings,
                       std::vector<MetricFamily>* out) {
    const auto gauge = [out](const char* name, const char* help, double value) {
      out->push_back(
          MakeSingleValueFamily(name, help, MetricType::Gauge, value));
    };
    gauge("cassiabend_config_version", "Number of the version in force.",
          static_cast<double>(readings.config_version));
    const double age =
        readings.confirmed_age ? ToSeconds(*readings.confirmed_age) : -1.0;
    gauge("cassiabend_confirmation_age_seconds",
          "Age of the newest confirmation of the head; -1 for none.", age);
    gauge("cassiabend_config_applied_timestamp_seconds",
          "When the version in force was applied, in seconds since the epoch; "
          "0 for none.",
          ToSeconds(readings.applied_at.time_since_epoch()));
    gauge("cassiabend_ready", "Whether the node may serve calls.",
          readings.ready ? 1 : 0);
    gauge("cassiabend_reader", "Whether the node reads the store for its zone.",
          readings.reader ? 1 : 0);
    gauge("process_resident_memory_bytes", "Resident memory.",
          static_cast<double>(readings.resident_bytes));
    out->push_back(MakeSingleValueFamily("process_cpu_seconds_total",
                                         "Processor time.", MetricType::Counter,
                                         ToSeconds(readings.cpu)));
    out->push_back(MakeSingleValueFamily(
        "cassiabend_cross_region_config_bytes_total",
        "Bytes of configuration exchanged with nodes of "
        "other regions, as encoded.",
        MetricType::Counter, static_cast<double>(readings.cross_region_bytes)));
    out->push_back(MakeSingleValueFamily(
        "cassiabend_events_total", "Events that the node has reduced.",
        MetricType::Counter, static_cast<double>(readings.events)));
  }

  static void AddMembers(const NodeReadings& readings,
                         std::vector<MetricFamily>* out) {
    std::vector<LabelledValue> members;
    for (const auto& [status, n] : readings.members_by_status) {
      members.push_back({{{"status", status}}, static_cast<double>(n)});
    }
    out->push_back(MakeLabelledFamily("cassiabend_members",
                                      "Members by status.", MetricType::Gauge,
                                      members));
  }

  static void AddCalls(const CallCounts& counts,
                       std::vector<MetricFamily>* out) {
    const auto row = [](const char* state, std::size_t n) {
      return LabelledValue{{{"state", state}}, static_cast<double>(n)};
    };
    out->push_back(MakeLabelledFamily(
        "cassiabend_work", "Calls and attempts by state.", MetricType::Gauge,
        {row("calls", counts.calls),
         row("attempts_queued", counts.attempts_queued),
         row("attempts_running", counts.attempts_running),
         row("attempts_held", counts.attempts_held),
         row("bodies_coming", counts.bodies_coming),
         row("new_work_slots", counts.new_work_slots),
         row("upstreams_ejected", counts.ejected)}));
    out->push_back(MakeSingleValueFamily(
        "cassiabend_retries_total", "Attempts sent again.", MetricType::Counter,
        static_cast<double>(counts.retries)));
    out->push_back(MakeSingleValueFamily(
        "cassiabend_retries_refused_total", "Retries that the budget refused.",
        MetricType::Counter, static_cast<double>(counts.retries_refused)));
  }

  static void AddBudgets(const CallCounts& counts,
                         std::vector<MetricFamily>* out) {
    constexpr double kThousandthsPerRetry = 1'000;
    std::vector<LabelledValue> budgets;
    for (const RetryBudget::Balance& it : counts.retry_budgets) {
      budgets.push_back({{{"of", it.team}, {"class", it.request_class}},
                         static_cast<double>(it.left) / kThousandthsPerRetry});
    }
    out->push_back(
        MakeLabelledFamily("cassiabend_retry_budget_left",
                           "Retries that the scarcest budgets have left.",
                           MetricType::Gauge, budgets));
  }

  static void AddAllotments(const CallCounts& counts,
                            std::vector<MetricFamily>* out) {
    if (counts.allotments.empty()) {
      return;
    }
    std::vector<LabelledValue> calls;
    std::vector<LabelledValue> used;
    for (const AllotmentCounts& it : counts.allotments) {
      const std::string of = it.team.empty() ? "other" : it.team;
      calls.push_back({{{"of", of}, {"result", "admitted"}},
                       static_cast<double>(it.admitted)});
      for (std::size_t i = 1; i < it.refused.size(); ++i) {
        const auto refusal = static_cast<AllotmentRefusal>(i);
        calls.push_back({{{"of", of}, {"result", std::string(NameOf(refusal))}},
                         static_cast<double>(it.refused.at(i))});
      }
      used.push_back(
          {{{"of", of}, {"at", "node"}}, static_cast<double>(it.used_here)});
      if (!it.team.empty()) {
        used.push_back({{{"of", of}, {"at", "fleet"}}, it.used});
        used.push_back({{{"of", of}, {"at", "unheard"}}, it.held});
        used.push_back({{{"of", of}, {"at", "limit"}}, it.limit});
      }
    }
    out->push_back(
        MakeLabelledFamily("cassiabend_allotment_calls_total",
                           "Calls that entered here, by team and result.",
                           MetricType::Counter, calls));
    out->push_back(MakeLabelledFamily(
        "cassiabend_allotment_used",
        "Calls of a team in the window; its limit.", MetricType::Gauge, used));
  }

  static void AddStoreReplies(const StoreClientCounts& counts,
                              std::vector<MetricFamily>* out) {
    std::vector<LabelledValue> replies;
    for (std::size_t kind = 0; kind < counts.replies.size(); ++kind) {
      for (std::size_t i = 0; i < counts.replies.at(kind).size(); ++i) {
        const std::uint64_t n = counts.replies.at(kind).at(i);
        if (n == 0) {
          continue;
        }
        replies.push_back({{{"kind", kStoreRequestNames.at(kind)},
                            {"result", kStoreStatusNames.at(i)}},
                           static_cast<double>(n)});
      }
    }
    out->push_back(
        MakeLabelledFamily("cassiabend_store_replies_total",
                           "Calls to the key-value service by kind and result.",
                           MetricType::Counter, replies));
  }

  static void AddLogLines(const NodeReadings& readings,
                          std::vector<MetricFamily>* out) {
    const auto row = [](const char* reason, std::uint64_t n) {
      return LabelledValue{{{"reason", reason}}, static_cast<double>(n)};
    };
    out->push_back(MakeLabelledFamily(
        "cassiabend_log_lines_dropped_total",
        "Log lines that were not written.", MetricType::Counter,
        {row("unread", readings.log_lines_unread),
         row("too_frequent", readings.log_lines_too_frequent)}));
  }

  static void AddTraffic(const PeerTraffic& traffic,
                         std::vector<MetricFamily>* out) {
    std::vector<LabelledValue> sent;
    std::vector<LabelledValue> received;
    for (const TrafficMetric& it : kTrafficMetrics) {
      sent.push_back(
          {{{"purpose", it.purpose}}, static_cast<double>(traffic.*it.sent)});
      received.push_back({{{"purpose", it.purpose}},
                          static_cast<double>(traffic.*it.received)});
    }
    out->push_back(MakeLabelledFamily("cassiabend_control_sent_bytes_total",
                                      "Bytes sent to other nodes for control.",
                                      MetricType::Counter, sent));
    out->push_back(
        MakeLabelledFamily("cassiabend_control_received_bytes_total",
                           "Bytes received from other nodes for control.",
                           MetricType::Counter, received));
    out->push_back(MakeSingleValueFamily(
        "cassiabend_rejected_messages_total",
        "Messages from other nodes that were malformed.", MetricType::Counter,
        static_cast<double>(traffic.rejected_messages)));
  }

  static void AddTrafficSplit(const TrafficSplit::Counts& counts,
                              std::vector<MetricFamily>* out) {
    std::vector<LabelledValue> values;
    for (std::size_t purpose = 0; purpose < counts.size(); ++purpose) {
      for (std::size_t to = 0; to < counts.at(purpose).size(); ++to) {
        const TrafficSplit::Bytes& bytes = counts.at(purpose).at(to);
        const auto row = [&](const char* direction, std::uint64_t n) {
          values.push_back({{{"beyond", kTrafficDistanceNames.at(to)},
                             {"direction", direction},
                             {"purpose", kTrafficPurposeNames.at(purpose)}},
                            static_cast<double>(n)});
        };
        row("sent", bytes.sent);
        row("received", bytes.received);
      }
    }
    out->push_back(MakeLabelledFamily(
        "cassiabend_beyond_zone_bytes_total",
        "Bytes exchanged with nodes of other zones and regions.",
        MetricType::Counter, values));
  }

  std::function<NodeReadings()> read_;
};

/// \brief One part of a call's time, by the label of its metric.
struct Phase {
  const char* name;
  Nanoseconds CallPhases::*time;
};
constexpr auto kPhases = std::to_array<Phase>({
    {"entry", &CallPhases::entry},
    {"between", &CallPhases::between},
    {"queue", &CallPhases::queue},
    {"upstream", &CallPhases::upstream},
});

/// \returns The values of the labels "outcome" and "reason" of a call.
std::pair<std::string, std::string> OutcomeLabels(const CallEnded& ended) {
  if (NotRunReasonByName(ended.outcome)) {
    return {"not_run", ended.outcome};
  }
  if (ended.outcome == "answered" && IsServerError(ended.status)) {
    return {ended.outcome, "server_error"};
  }
  return {ended.outcome, ended.reason};
}

std::string_view NameOf(CommitCode code) noexcept {
  constexpr std::string_view kNames[] = {
      "ok",           "conflict",  "invalid",
      "unavailable",  "unknown",   "not_authorised",
      "store_behind", "not_found", "busy"};
  return kNames[static_cast<std::size_t>(code)];
}

}  // namespace

NodeMetrics::NodeMetrics(std::function<NodeReadings()> read)
    : readings_(std::make_shared<ReadingsCollectable>(std::move(read))),
      calls_(&prometheus::BuildCounter()
                  .Name("cassiabend_calls_total")
                  .Help("Calls by team, class, outcome and reason.")
                  .Register(registry_)),
      latency_(&prometheus::BuildHistogram()
                    .Name("cassiabend_call_seconds")
                    .Help("Time from a call's arrival to its end.")
                    .Register(registry_)),
      phases_(&prometheus::BuildHistogram()
                   .Name("cassiabend_call_phase_seconds")
                   .Help("Parts of a call's time until its answer began.")
                   .Register(registry_)),
      changes_(&prometheus::BuildCounter()
                    .Name("cassiabend_changes_total")
                    .Help("Operators' changes by outcome.")
                    .Register(registry_)) {}

NodeMetrics::~NodeMetrics() = default;

std::string NodeMetrics::Scrape() const {
  std::vector<MetricFamily> families = registry_.Collect();
  for (MetricFamily& it : readings_->Collect()) {
    families.push_back(std::move(it));
  }
  return prometheus::TextSerializer().Serialize(families);
}

void NodeMetrics::Record(const CallEnded& ended) {
  CallCounter(ended).Increment();
  const ClassHistograms& histograms = HistogramsOf(ended);
  histograms.total->Observe(ToSeconds(ended.elapsed));
  if (!ended.phases) {
    return;
  }
  for (std::size_t i = 0; i < kPhases.size(); ++i) {
    histograms.phases[i]->Observe(ToSeconds(*ended.phases.*kPhases.at(i).time));
  }
}

void NodeMetrics::Record(const CommitFinished& finished) {
  const std::string outcome(NameOf(finished.result.code));
  changes_->Add({{"outcome", outcome}}).Increment();
}

prometheus::Counter& NodeMetrics::CallCounter(const CallEnded& ended) {
  const auto [outcome, reason] = OutcomeLabels(ended);
  const CounterKey key(ended.team, ended.request_class, outcome, reason);
  const auto it = call_counters_.find(key);
  if (it != call_counters_.end()) {
    return *it->second;
  }
  prometheus::Counter& counter = calls_->Add({{"team", ended.team},
                                              {"class", ended.request_class},
                                              {"outcome", outcome},
                                              {"reason", reason}});
  call_counters_.emplace(key, &counter);
  return counter;
}

NodeMetrics::ClassHistograms& NodeMetrics::HistogramsOf(
    const CallEnded& ended) {
  ClassHistograms& histograms =
      call_histograms_[{ended.team, ended.request_class}];
  if (histograms.total != nullptr) {
    return histograms;
  }
  const prometheus::Labels labels = {{"team", ended.team},
                                     {"class", ended.request_class}};
  histograms.total = &latency_->Add(labels, LatencyBuckets());
  for (const Phase& it : kPhases) {
    prometheus::Labels named = labels;
    named.emplace("phase", it.name);
    histograms.phases.push_back(&phases_->Add(named, LatencyBuckets()));
  }
  return histograms;
}

Nanoseconds ProcessCpuTime() noexcept {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = Seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec);
  const auto rest =
      Microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
  return seconds + rest;
}

std::uint64_t ProcessResidentBytes() {
  std::ifstream in("/proc/self/statm");
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  if (!(in >> total_pages >> resident_pages)) {
    return 0;
  }
  return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace cassiabend
