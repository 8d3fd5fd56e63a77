#include "cassiabend/node/settings_fields.h"

#include <array>

namespace cassiabend {
namespace {

constexpr std::uint64_t kMaxNameLength = 128;
constexpr std::uint64_t kMaxPort = 65'535;
constexpr std::uint64_t kMebibyte = 1'048'576;
constexpr std::uint64_t kMinuteMs = 60'000;
constexpr std::uint64_t kHourMs = 3'600'000;
constexpr std::uint64_t kDayMs = 86'400'000;
constexpr std::uint64_t kMaxSeed = UINT64_MAX;

using Node = NodeSettings;
constexpr auto kNodeFields = std::to_array<SettingField<Node>>({
    {"ip", &Node::ip, 2, 45, "Address that the node listens on and announces."},
    {"peer_port", &Node::peer_port, 1, kMaxPort,
     "UDP and TCP port for other nodes."},
    {"call_port", &Node::call_port, 1, kMaxPort, "HTTP port for calls."},
    {"announced_call_port", &Node::announced_call_port, 0, kMaxPort,
     "Port that other nodes are told for calls, when a proxy stands before "
     "this one; 0: `call_port`."},
    {"admin_port", &Node::admin_port, 0, kMaxPort,
     "Port of the administration API; 0 turns it off."},
    {"metrics_port", &Node::metrics_port, 0, kMaxPort,
     "HTTP port of /metrics, /healthz and /readyz; 0 turns it off."},
    {"readiness_port", &Node::readiness_port, 0, kMaxPort,
     "HTTP port on which the platform asks for readiness; 0 turns it off."},
    {"control_port", &Node::control_port, 0, kMaxPort,
     "HTTP port for the upstream's heartbeats; 0 turns it off."},
    {"region", &Node::region, 1, kMaxNameLength, "Region of the host."},
    {"zone", &Node::zone, 1, kMaxNameLength, "Availability zone of the host."},
    {"shutdown_timeout_ms", &Node::shutdown_timeout, 0, kHourMs,
     "Longest graceful shutdown."},
    {"seed", &Node::seed, 0, kMaxSeed,
     "Seed of random choices; 0 takes a fresh one at each start."},
    {"log_level", &Node::log_level, 4, 7,
     "Lowest level logged: debug, info, warning or error. Reloadable."},
});

using Platform = PlatformSettings;
constexpr std::uint64_t kMaxAddressLength = 64;
constexpr std::uint64_t kMaxTextLength = 4'096;
constexpr auto kPlatformFields = std::to_array<SettingField<Platform>>({
    {"adapter", &Platform::adapter, 0, kMaxNameLength,
     "Name of the adapter to the platform; empty for the product's own "
     "interfaces."},
    {"upstream_address", &Platform::upstream_address, 0, kMaxAddressLength,
     "IP:PORT of the upstream on this host."},
    {"peer_call_address", &Platform::peer_call_address, 0, kMaxAddressLength,
     "IP:PORT on which other nodes send calls."},
    {"caller_address", &Platform::caller_address, 0, kMaxAddressLength,
     "IP:PORT on which callers send requests."},
    {"readiness_address", &Platform::readiness_address, 0, kMaxAddressLength,
     "IP:PORT on which the platform asks for readiness."},
    {"control_address", &Platform::control_address, 0, kMaxAddressLength,
     "IP:PORT for the upstream's heartbeats."},
    {"heartbeat", &Platform::heartbeat, 0, kMaxNameLength,
     "Period of the upstream's heartbeats, in the platform's form."},
    {"bounds", &Platform::bounds, 0, kMaxTextLength,
     "What the platform asks of its programs, in the platform's form."},
    {"link_mbps", &Platform::link_mbps, 0, kMaxNameLength,
     "Width of the host's link in megabits a second; empty for unknown."},
    {"first_start", &Platform::first_start, 0, kMaxNameLength,
     "\"true\" when the whole system starts for the first time."},
});

using Upstream = UpstreamSettings;
constexpr auto kUpstreamFields = std::to_array<SettingField<Upstream>>({
    {"service", &Upstream::service, 0, kMaxNameLength,
     "Service of the upstream on this host; empty for none."},
    {"ip", &Upstream::ip, 0, 45, "Address of the upstream."},
    {"port", &Upstream::port, 0, kMaxPort, "HTTP port of the upstream."},
    {"slots", &Upstream::slots, 1, 100'000,
     "Calls that the upstream runs at the same time."},
});

using Store = StoreClientOptions;
constexpr auto kStoreFields = std::to_array<SettingField<Store>>({
    {"request_timeout_ms", &Store::request_timeout, 50, kMinuteMs,
     "Longest wait for an answer of the store."},
    {"max_connections", &Store::max_connections, 1, 64,
     "Connections to the store."},
    {"max_waiting", &Store::max_waiting, 1, 10'000,
     "Requests that may wait for a connection."},
});

using Conf = ConfigOptions;
constexpr auto kConfigFields = std::to_array<SettingField<Conf>>({
    {"kept_versions", &Conf::kept_versions, 1, 200,
     "Versions that stay readable for history and rollback."},
    {"remembered_changes", &Conf::remembered_changes, 10, 5'000,
     "Change ids that are recognised when a change is sent again."},
    {"max_waiting_changes", &Conf::max_waiting_changes, 1, 10'000,
     "Changes that may wait on one node."},
    {"commit_timeout_ms", &Conf::commit_timeout, 500, 10 * kMinuteMs,
     "Longest time from an operator's change to its answer."},
    {"retry_base_ms", &Conf::retry_base, 1, kMinuteMs,
     "First pause before a store call of a commit is repeated."},
    {"retry_limit_ms", &Conf::retry_limit, 1, 10 * kMinuteMs,
     "Longest pause before a store call of a commit is repeated."},
    {"cleanup_period_ms", &Conf::cleanup_period, 100, kDayMs,
     "Pause between clean-ups of unreachable values."},
    {"cleanup_grace_ms", &Conf::cleanup_grace, 0, 7 * kDayMs,
     "Time that a value must have been unreachable before it is deleted."},
});

using Fleet = FleetOptions;
constexpr auto kFleetFields = std::to_array<SettingField<Fleet>>({
    {"probe_period_ms", &Fleet::probe_period, 100, kMinuteMs,
     "Pause between probes of other members."},
    {"probe_timeout_ms", &Fleet::probe_timeout, 10, kMinuteMs,
     "Wait for a probe's answer before other members are asked to probe."},
    {"indirect_probes", &Fleet::indirect_probes, 0, 16,
     "Members asked to probe one that did not answer."},
    {"suspicion_timeout_ms", &Fleet::suspicion_timeout, 100, 10 * kMinuteMs,
     "Time that a suspected member has to answer before it counts as dead."},
    {"beat_period_ms", &Fleet::beat_period, 100, kMinuteMs,
     "Pause between heartbeats from a parent to its children."},
    {"fan_out", &Fleet::fan_out, 2, 64,
     "Most children of one node in the dissemination tree."},
    {"readers_per_zone", &Fleet::readers_per_zone, 1, 4,
     "Nodes of a zone that read the store."},
    {"reader_candidates", &Fleet::reader_candidates, 1, 32,
     "Members of a zone that try for a reader's lease."},
    {"reader_lease_s", &Fleet::reader_lease, 1, 600, "Length of that lease."},
    {"watch_wait_ms", &Fleet::watch_wait, 100, 10 * kMinuteMs,
     "Longest wait of one watch on the head."},
    {"store_retry_base_ms", &Fleet::store_retry_base, 1, kMinuteMs,
     "First pause before a failed store call is repeated."},
    {"store_retry_limit_ms", &Fleet::store_retry_limit, 1, 10 * kMinuteMs,
     "Longest pause before a failed store call is repeated."},
    {"full_value_limit", &Fleet::full_value_limit, 1, 256,
     "Whole versions that a node sends at the same time."},
    {"full_value_pause_ms", &Fleet::full_value_pause, 0, kMinuteMs,
     "Pause between whole versions that a node sends."},
    {"reader_retry_limit_ms", &Fleet::reader_retry_limit, 1, 10 * kMinuteMs,
     "Longest pause before a reader repeats a failed read of the head."},
    {"confirm_period_ms", &Fleet::confirm_period, 100, kMinuteMs,
     "Pause between a reader's reads that confirm the head. With "
     "`member_lease_s` one reader of the fleet confirms it, in each 1.8 times "
     "`follow_limit_ms`."},
    {"join_jitter_ms", &Fleet::join_jitter, 0, kMinuteMs,
     "Longest random pause before a started node reads seeds from the store."},
    {"unreachable_after_ms", &Fleet::unreachable_after, 100, kHourMs,
     "Silence after which a whole zone counts as unreachable."},
    {"member_sync_period_ms", &Fleet::member_sync_period, 1'000, kDayMs,
     "Pause between comparisons of member lists with other zones."},
    {"member_lease_s", &Fleet::member_lease, 0, 600,
     "Lease of this node's own key in the store, by which others find it. 0: "
     "the store holds lists of seeds, and readers hold leases."},
    {"watch_pause_ms", &Fleet::watch_pause, 0, kMinuteMs,
     "Shortest time between the starts of two watches of the head."},
    {"follow_limit_ms", &Fleet::follow_limit, 10, kMinuteMs,
     "A node that has heard of no follower of the head for so long reads it "
     "itself."},
    {"join_confirmation_age_ms", &Fleet::join_confirmation_age, 0, kHourMs,
     "Oldest confirmation of the head, before the start, that makes a node "
     "ready without further peers."},
    {"rollout_permille", &Fleet::rollout_permille, 0, 1'000,
     "Share of a service's calls, in thousandths, that a version may get while "
     "it is not known to be good."},
    {"rollout_slack", &Fleet::rollout_slack, 0, 1'000'000,
     "Calls that such a version may get beyond that share."},
    {"forget_after_ms", &Fleet::forget_after, 1'000, 7 * kDayMs,
     "Time after which a dead member is forgotten."},
    {"join_quorum", &Fleet::join_quorum, 1, 16,
     "Peers that must vouch for a version when the store cannot be read."},
    {"removal_permille", &Fleet::removal_permille, 0, 1'000,
     "Largest share of a service's members of a zone that suspicion may remove "
     "within the removal interval, in thousandths."},
    {"removal_interval_ms", &Fleet::removal_interval, 100, kHourMs,
     "Interval of the removal share."},
});

using Calls = CallOptions;
constexpr auto kCallFields = std::to_array<SettingField<Calls>>({
    {"default_timeout_ms", &Calls::default_timeout, 1, 10 * kMinuteMs,
     "Deadline of a call whose caller and route name none."},
    {"freshness_limit_ms", &Calls::freshness_limit, 100, kDayMs,
     "Largest age of the configuration's confirmation at which noisy work "
     "starts."},
    {"clock_error_ms", &Calls::clock_error, 0, kMinuteMs,
     "Largest error of the host's wall clock."},
    {"queue_limit", &Calls::queue_limit, 0, 100'000,
     "Attempts that may wait for a slot."},
    {"class_share_permille", &Calls::class_share_permille, 1, 1'000,
     "Share of the slots that one class may hold while others wait, in "
     "thousandths."},
    {"retry_budget_permille", &Calls::retry_budget_permille, 0, 1'000,
     "Retries that a class may add, in thousandths of its calls."},
    {"max_attempts", &Calls::max_attempts, 1, 10, "Attempts of one call."},
    {"retry_burst", &Calls::retry_burst, 0, 100'000,
     "Retries of one service that all nodes together may hold saved up; 0 for "
     "ten a node, team and class."},
    {"order_by_objective", &Calls::order_by_objective, 0, 1,
     "1: what waits is served by its objective; 0: teams and classes take "
     "turns."},
    {"inner_calls", &Calls::inner_calls, 0, 2,
     "Calls of upstreams for which a run waits go before new work: 0: none; 1: "
     "those with a depth, which they state or their request id shows; 2: also "
     "those of routes on which only upstreams call, "
     "while no call has a depth. Needs order_by_objective."},
    {"team_shares", &Calls::team_shares, 0, 1,
     "1: teams that wait share an upstream in proportion to their allotments; "
     "0: they do not. Needs order_by_objective."},
    {"spread_returns", &Calls::spread_returns, 0, 1,
     "1: refused callers are told to come back the later, the greater the "
     "demand is and the less urgent the call; 0: once the queue has been "
     "served."},
    {"offer_bodies", &Calls::offer_bodies, 0, 1,
     "1: a large request body for another host is offered first, and sent when "
     "the links of both hosts have room; 0: it is sent at once."},
    {"place_by_time", &Calls::place_by_time, 0, 1,
     "1: an upstream is chosen by the expected time to its answer; 0: the "
     "nearest one that has room."},
    {"place_by_completion", &Calls::place_by_completion, 0, 1,
     "1, with place_by_time: loads that are not known are expected to be those "
     "of others, told speeds count, and attempts leave the region only for a "
     "free slot."},
    {"gate_versions", &Calls::gate_versions, 0, 1,
     "1: calls go to the versions of their service that roll-outs name; 0: "
     "versions of upstreams say nothing."},
    {"rollout_vouch_limit_ms", &Calls::rollout_vouch_limit, 100, kMinuteMs,
     "Time after which a node that hears nothing of a roll-out sends no calls "
     "to the version that is being rolled out."},
    {"region_kilobyte_us", &Calls::region_kilobyte_us, 0, 1'000'000,
     "Time, in microseconds, that is waited rather than move a kilobyte of an "
     "answer from another zone of the region."},
    {"beyond_kilobyte_us", &Calls::beyond_kilobyte_us, 0, 1'000'000,
     "The same for a kilobyte from another region."},
    {"caller_margin_ms", &Calls::caller_margin, 0, kMinuteMs,
     "Taken off the time that a caller says it waits, for the way of the "
     "answer; at most a tenth of that time."},
    {"retry_errors", &Calls::retry_errors, 0, 1,
     "1: a repeatable call whose upstream answered with a server error is "
     "tried at another one."},
    {"upstream_heartbeat_ms", &Calls::upstream_heartbeat, 0, kMinuteMs,
     "Period of the upstream's heartbeats; 0: it sends none and is probed."},
    {"ask_upstream", &Calls::ask_upstream, 0, 1,
     "1: an upstream that sends heartbeats is asked for its name before the "
     "first one."},
    {"shutdown_accept_ms", &Calls::shutdown_accept, 0, kHourMs,
     "Time after the start of a shutdown in which all attempts at this host's "
     "upstream are taken; later ones if they end within shutdown_serve_ms."},
    {"shutdown_serve_ms", &Calls::shutdown_serve, 0, kHourMs,
     "Time after the start of a shutdown in which callers' new requests are "
     "taken."},
    {"start_wait_ms", &Calls::start_wait, 0, kMinuteMs,
     "Time after the start of the process in which calls wait for the node to "
     "be ready."},
    {"unknown_key_wait_ms", &Calls::unknown_key_wait, 0, kMinuteMs,
     "Longest time that a call with an unknown key waits for a version of the "
     "configuration that has the key; at most a quarter of its caller's time."},
    {"unknown_key_age_ms", &Calls::unknown_key_age, 0, kDayMs,
     "Largest age of the configuration's confirmation at which an unknown key "
     "is refused as such; beyond it the call is refused as not run."},
    {"keyed_call_age_ms", &Calls::keyed_call_age, 0, kDayMs,
     "Largest age of the configuration's confirmation at which calls with a "
     "key are served, so that removed keys end; 0 for no limit."},
    {"allotment_window_ms", &Calls::allotment_window, 100, kMinuteMs,
     "Time in which a team may make the calls of its rate and its burst, over "
     "all nodes."},
    {"allotment_overage_permille", &Calls::allotment_overage_permille, 0, 1'000,
     "Error allowed to a team's limit, in thousandths of it."},
    {"allotment_tolerance", &Calls::allotment_tolerance, 0, 1'000'000,
     "Further calls in a window by which a team's limit may be missed in "
     "error."},
    {"answer_hold_ms", &Calls::answer_hold, 100, 10 * kMinuteMs,
     "Time that an answer is held for an entry node whose link was lost."},
    {"order_memory_ms", &Calls::order_memory, 1'000, 7 * kDayMs,
     "Time that order keys are remembered."},
    {"order_claims_per_second", &Calls::order_claims_per_second, 1, 10'000,
     "Most order keys that one node claims in the store a second."},
    {"slow_start_ms", &Calls::slow_start, 0, 10 * kMinuteMs,
     "Time over which a new upstream's share of calls grows to the full one."},
    {"ejection_failures", &Calls::ejection_failures, 1, 1'000,
     "Failures in a row after which an upstream is left out."},
    {"ejection_time_ms", &Calls::ejection_time, 10, kHourMs,
     "Time that an upstream is left out."},
    {"ejection_permille", &Calls::ejection_permille, 0, 1'000,
     "Largest share of a service's upstreams left out, in thousandths."},
});

using Http = CallServerOptions;
constexpr auto kHttpFields = std::to_array<SettingField<Http>>({
    {"max_pipelined_requests", &Http::max_pipelined_requests, 1, 256,
     "Requests of one connection that are read before the first is answered; "
     "each may hold 64 KB of its answer until its turn."},
    {"link_kilobits", &Http::link_kilobits, 0, 1'000'000'000,
     "Width of this host's link, in kilobits a second: large answers share it "
     "so that small ones need not wait; 0: it is not known."},
    {"max_connections", &Http::max_connections, 1, 1'000'000,
     "Connections that the call port accepts."},
    {"max_header_bytes", &Http::max_header_bytes, 512, kMebibyte,
     "Largest header of a request or an answer."},
    {"max_request_body_bytes", &Http::max_request_body_bytes, 0, 64 * kMebibyte,
     "Largest body of a request."},
    {"held_answer_bytes", &Http::held_answer_bytes, 0, 64 * kMebibyte,
     "Bytes of one answer that are held when its link is lost."},
    {"max_held_bytes", &Http::max_held_bytes, kMebibyte, kMebibyte* kMebibyte,
     "Bytes of all held requests and answers."},
    {"connect_timeout_ms", &Http::connect_timeout, 1, kMinuteMs,
     "Longest wait for a connection."},
    {"progress_timeout_ms", &Http::progress_timeout, 10, 10 * kMinuteMs,
     "Longest pause on a connection in use."},
    {"idle_timeout_ms", &Http::idle_timeout, 10, kHourMs,
     "Time after which an idle connection is closed."},
    {"idle_connections", &Http::idle_connections, 0, 1'000,
     "Idle connections kept to the upstream and to each peer."},
    {"caller_port", &Http::caller_port, 0, kMaxPort,
     "HTTP port for callers alone; 0: they share the call port with nodes."},
    {"prepared_connections", &Http::prepared_connections, 0, 100,
     "Connections to the upstream that are opened ahead of their use."},
    {"whole_answer_bytes", &Http::whole_answer_bytes, 0, 64 * kMebibyte,
     "Answers up to this size are passed on only when they are whole."},
    {"probe_period_ms", &Http::probe_period, 0, kMinuteMs,
     "Pause between probes of the upstream's health; 0: only when needed."},
    {"health_path", &Http::health_path, 0, 256,
     "Path of the upstream's health endpoint; empty for none."},
});

}  // namespace

std::span<const SettingField<NodeSettings>> NodeFields() {
  return kNodeFields;
}
std::span<const SettingField<PlatformSettings>> PlatformFields() {
  return kPlatformFields;
}
std::span<const SettingField<UpstreamSettings>> UpstreamFields() {
  return kUpstreamFields;
}
std::span<const SettingField<StoreClientOptions>> StoreFields() {
  return kStoreFields;
}
std::span<const SettingField<ConfigOptions>> ConfigFields() {
  return kConfigFields;
}
std::span<const SettingField<FleetOptions>> FleetFields() {
  return kFleetFields;
}
std::span<const SettingField<CallOptions>> CallFields() {
  return kCallFields;
}
std::span<const SettingField<CallServerOptions>> HttpFields() {
  return kHttpFields;
}

}  // namespace cassiabend
