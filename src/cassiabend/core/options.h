#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/head_codec.h"
#include "cassiabend/core/member.h"
#include "cassiabend/core/rollout/rollout_codec.h"

namespace cassiabend {

/// \brief Settings of the commit path.
struct ConfigOptions {
  /// Number of newest versions that stay readable and are never cleaned up.
  std::uint32_t kept_versions = 20;
  /// Change ids kept in the head, by which a repeated change is recognised.
  std::uint32_t remembered_changes = 200;
  std::uint32_t max_waiting_changes = 64;
  /// Longest time from a change's request to its answer.
  Milliseconds commit_timeout{10'000};
  Milliseconds retry_base{100};
  Milliseconds retry_limit{5'000};
  Milliseconds cleanup_period{60'000};
  /// Time that a value must have been unreferenced before it is deleted.
  Milliseconds cleanup_grace{3'600'000};
};

/// \brief Settings of membership, of the dissemination of versions and of their
/// freshness.
struct FleetOptions {
  Milliseconds probe_period{1'000};
  Milliseconds probe_timeout{300};
  std::uint32_t indirect_probes = 3;
  Milliseconds suspicion_timeout{4'000};
  Milliseconds beat_period{1'000};
  std::uint32_t fan_out = 16;
  std::uint32_t readers_per_zone = 2;
  /// Members of a zone that may try to acquire a reader's lease.
  std::uint32_t reader_candidates = 4;
  Seconds reader_lease{9};
  Milliseconds watch_wait{10'000};
  Milliseconds store_retry_base{200};
  /// Longest pause before a node that joins, or renews its own key in the
  /// store, repeats a failed store call.
  Milliseconds store_retry_limit{15'000};
  /// Longest pause before a reader or a candidate repeats a failed store call.
  /// It may be short, since there are few of them however large the fleet is.
  Milliseconds reader_retry_limit{2'000};
  /// Full versions that one node may send in a burst; `full_value_pause` is
  /// the time after which it may send one more.
  std::uint32_t full_value_limit = 4;
  Milliseconds full_value_pause{50};
  /// Time after which a dead member is removed from the member table.
  Milliseconds forget_after{600'000};
  /// Peers of the zone that must hold a version for a node to become ready with
  /// it when the store cannot be read.
  std::uint32_t join_quorum = 2;
  /// Largest share of a service's members of a zone, in thousandths, that may
  /// be declared dead after suspicion within `removal_interval`.
  std::uint32_t removal_permille = 340;
  Milliseconds removal_interval{30'000};
  std::vector<NodeId> seeds;
  /// Pause between a reader's reads of the head that confirm it.
  Milliseconds confirm_period{3'000};
  /// Longest random pause of a joining node before it reads the store.
  Milliseconds join_jitter{1'000};
  /// Time without any message from a zone after which it counts as unreachable.
  Milliseconds unreachable_after{8'000};
  /// Pause between a zone root's requests for all members of another zone.
  Milliseconds member_sync_period{300'000};
  /// Lease of this node's own key in the store, by which other nodes find it.
  /// 0: the store holds lists of seeds instead, and readers of a zone hold
  /// leases.
  Seconds member_lease{0};
  /// Shortest time between the starts of two watches of the head; a watch
  /// returns all changes since the one before.
  Milliseconds watch_pause{0};
  /// A node that has heard for this long of no node that reads the head reads
  /// it itself. Used with `member_lease`.
  Milliseconds follow_limit{1'000};
  /// Largest age, at the node's start, of a confirmation of the head that makes
  /// the node ready without further peers.
  Milliseconds join_confirmation_age{10'000};
  /// Share of a service's calls, in thousandths, that a version may get while
  /// it is not known to be good; 0: there are no roll-outs.
  std::uint32_t rollout_permille = 0;
  /// Calls that such a version may get beyond that share.
  std::uint32_t rollout_slack = 0;
  /// Never null; must outlive the reducer.
  const HeadCodec* head_codec = &StoredHeadCodec();
  /// Null where roll-outs are not ordered in the store; else must outlive the
  /// reducer.
  const RolloutCodec* rollout_codec = nullptr;
};

/// \brief Settings of the call path.
struct CallOptions {
  Milliseconds default_timeout{5'000};
  /// Largest age of the head's confirmation at which calls of noisy routes may
  /// start.
  Milliseconds freshness_limit{10'000};
  /// Largest error of a host's wall clock.
  Milliseconds clock_error{500};
  /// Calls that this host's upstream runs at the same time.
  std::uint32_t slots = 0;
  /// Attempts that may wait for a slot.
  std::uint32_t queue_limit = 64;
  /// Largest share of the slots, in thousandths, that one class may hold while
  /// others wait.
  std::uint32_t class_share_permille = 600;
  /// Retries of one team and class, in thousandths of its calls.
  std::uint32_t retry_budget_permille = 200;
  std::uint32_t max_attempts = 3;
  /// Unused retries that all nodes together may save up for one service; 0:
  /// each node may save up ten for each team and class.
  std::uint32_t retry_burst = 0;
  /// Time that the destination node holds the answer of an attempt for the
  /// entry node.
  Milliseconds answer_hold{10'000};
  /// Time that order keys and tombstones of attempts are kept.
  Milliseconds order_memory{600'000};
  /// Time in which the share of calls of a new upstream grows to the full one.
  Milliseconds slow_start{10'000};
  /// Consecutive failures that eject an upstream.
  std::uint32_t ejection_failures = 5;
  /// Length of the first ejection of an upstream.
  Milliseconds ejection_time{5'000};
  /// Largest share of a service's upstreams that may be ejected, in
  /// thousandths.
  std::uint32_t ejection_permille = 340;
  /// Order keys that this node may claim in the store per second.
  std::uint32_t order_claims_per_second = 50;
  /// Period of the upstream's heartbeats; 0: it sends none, and probes of its
  /// health endpoint decide whether it serves.
  Milliseconds upstream_heartbeat{0};
  /// "ip:port" of this host's upstream, which its heartbeats state; empty: they
  /// need not.
  std::string upstream_address;
  /// 1: the upstream may have been started before this process, so it is asked
  /// for its instance before its first heartbeat; 0: it is not.
  std::uint32_t ask_upstream = 1;
  /// 1: waiting attempts are served by their objectives; 0: teams and classes
  /// are served round-robin.
  std::uint32_t order_by_objective = 0;
  /// Which attempts go before all others because a run of an upstream waits for
  /// them, an `InnerCallMode`: 0 none, 1 those with a depth, 2 also those of
  /// routes on which only upstreams call. Used with `order_by_objective`.
  std::uint32_t inner_calls = 0;
  /// 1: teams that wait share the upstream by their allotments; 0: they do not.
  /// Used with `order_by_objective`.
  std::uint32_t team_shares = 0;
  /// 1: refused callers are told to come back the later, the greater the demand
  /// is and the less urgent the call; 0: once the queue has been served.
  std::uint32_t spread_returns = 0;
  /// 1: a large request body for another host is offered first, and sent when
  /// the links of both hosts have room; 0: it is sent at once.
  std::uint32_t offer_bodies = 0;
  /// 1: the upstream with the lowest expected time to its answer is picked; 0:
  /// the nearest one that is not saturated.
  std::uint32_t place_by_time = 0;
  /// 1, with `place_by_time`: the load of an upstream that has not told it
  /// lately is expected to be that of others of its service, what it tells of
  /// its speed counts, and attempts leave the region only for a slot that is
  /// expected to be free.
  std::uint32_t place_by_completion = 0;
  /// Time, in microseconds, that is worth waiting to avoid the transfer of a
  /// kilobyte of an answer from another zone of the region or another region.
  std::uint32_t region_kilobyte_us = 0;
  std::uint32_t beyond_kilobyte_us = 0;
  /// Subtracted from the deadline that a caller states, as time for the answer
  /// to reach it.
  Milliseconds caller_margin{0};
  /// 1: a repeatable call that an upstream answered with a server error is
  /// retried at another upstream; 0: its caller gets the error.
  std::uint32_t retry_errors = 0;
  /// Time after the start of a shutdown in which all attempts at this host's
  /// upstream are accepted; later ones only if they are expected to end within
  /// `shutdown_serve`, which is also the upper bound of this time.
  Milliseconds shutdown_accept{0};
  /// Time after the start of a shutdown at which every open call is answered,
  /// since the process ends soon after.
  Milliseconds shutdown_finish{600'000};
  /// Time after the start of the process in which calls wait for the node to be
  /// ready.
  Milliseconds start_wait{0};
  /// Time after the start of a shutdown in which new requests of callers are
  /// accepted: until the callers have learnt of the shutdown.
  Milliseconds shutdown_serve{0};
  /// Longest time that a call with an unknown key waits for a version that has
  /// the key.
  Milliseconds unknown_key_wait{1'000};
  /// Largest age of the head's confirmation at which a key counts as unknown.
  Milliseconds unknown_key_age{10'000};
  /// Largest age of the head's confirmation at which calls with a key are
  /// served; 0 for no limit.
  Milliseconds keyed_call_age{0};
  /// 1: calls go to the versions of their service that roll-outs name; 0: the
  /// versions of upstreams say nothing.
  std::uint32_t gate_versions = 0;
  /// Time after which a node that hears nothing of a roll-out sends no calls to
  /// the version that is being rolled out.
  Milliseconds rollout_vouch_limit{2'500};
  /// Time in which a team may make the calls of its rate and its burst.
  Milliseconds allotment_window{5'000};
  /// Calls beyond its limit that a team may make in error, over all nodes: this
  /// share of the limit, in thousandths, and this number.
  std::uint32_t allotment_overage_permille = 0;
  std::uint32_t allotment_tolerance = 0;
};

/// \brief All settings of one node's reducers.
struct CoreOptions {
  Member self;
  std::uint64_t seed = 1;
  ConfigOptions config;
  FleetOptions fleet;
  CallOptions calls;
};

}  // namespace cassiabend
