#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/head_codec.h"
#include "cassiabend/core/member.h"

namespace cassiabend {

/// \brief Limits of the commit path.
struct ConfigOptions {
  /// Versions that stay readable and are never cleaned up.
  std::uint32_t kept_versions = 20;
  /// Change ids that the head remembers.
  std::uint32_t remembered_changes = 200;
  std::uint32_t max_waiting_changes = 64;
  /// Longest time from a request to its answer.
  Milliseconds commit_timeout{10'000};
  Milliseconds retry_base{100};
  Milliseconds retry_limit{5'000};
  Milliseconds cleanup_period{60'000};
  /// A value is deleted only when it has been unreachable this long.
  Milliseconds cleanup_grace{3'600'000};
};

/// \brief Settings of membership, spread and freshness.
struct FleetOptions {
  Milliseconds probe_period{1'000};
  Milliseconds probe_timeout{300};
  std::uint32_t indirect_probes = 3;
  Milliseconds suspicion_timeout{4'000};
  Milliseconds beat_period{1'000};
  std::uint32_t fan_out = 16;
  std::uint32_t readers_per_zone = 2;
  /// Members that may try for a reader's lease.
  std::uint32_t reader_candidates = 4;
  Seconds reader_lease{9};
  Milliseconds watch_wait{10'000};
  Milliseconds store_retry_base{200};
  /// Longest pause between two attempts of a joining node.
  Milliseconds store_retry_limit{15'000};
  /// Longest pause between two attempts of a reader or a candidate, of which
  /// there are few however large the fleet is.
  Milliseconds reader_retry_limit{2'000};
  /// Whole values that one node sends at the same time.
  std::uint32_t full_value_limit = 4;
  Milliseconds full_value_pause{50};
  /// A member that stays dead this long is forgotten.
  Milliseconds forget_after{600'000};
  /// Peers of the zone that must vouch for a version when the store is down.
  std::uint32_t join_quorum = 2;
  /// Most of a service's members of a zone, in thousandths, that suspicion may
  /// take out within `removal_interval`.
  std::uint32_t removal_permille = 340;
  Milliseconds removal_interval{30'000};
  std::vector<NodeId> seeds;
  /// How often a reader reads the head to confirm it.
  Milliseconds confirm_period{3'000};
  /// Longest time that a joining node waits before it reads the store.
  Milliseconds join_jitter{1'000};
  /// A zone that has not been heard this long counts as unreachable.
  Milliseconds unreachable_after{8'000};
  /// How often a root of a zone asks another zone for all members.
  Milliseconds member_sync_period{300'000};
  /// Lease of this node's own key in the store, by which others find it. 0: the
  /// store holds lists of seeds instead, and the readers of a zone hold leases.
  Seconds member_lease{0};
  /// Shortest time between the starts of two watches of the head; changes in
  /// between come with one answer.
  Milliseconds watch_pause{0};
  /// A node that has heard of no follower of the head for so long reads it
  /// itself. Used with `member_lease`.
  Milliseconds follow_limit{1'000};
  /// Oldest confirmation of the head, before the start, that makes a node ready
  /// without asking further peers.
  Milliseconds join_confirmation_age{10'000};
  /// Never null; must outlive the reducer.
  const HeadCodec* head_codec = &StoredHeadCodec();
};

/// \brief Settings of the call path.
struct CallOptions {
  Milliseconds default_timeout{5'000};
  /// Largest age of the head's confirmation at which noisy work starts.
  Milliseconds freshness_limit{10'000};
  /// Largest error of the wall clock.
  Milliseconds clock_error{500};
  std::uint32_t slots = 0;
  std::uint32_t queue_limit = 64;
  /// Share of the slots that one class may hold while others wait.
  std::uint32_t class_share_permille = 600;
  /// Retries a team's class may add, in thousandths of its calls.
  std::uint32_t retry_budget_permille = 200;
  std::uint32_t max_attempts = 3;
  /// Retries that all nodes together may hold saved up for one service; 0 for
  /// ten a node.
  std::uint32_t retry_burst = 0;
  /// How long the answer of an attempt is held for a caller's node.
  Milliseconds answer_hold{10'000};
  /// How long order keys and tombstones are remembered.
  Milliseconds order_memory{600'000};
  Milliseconds slow_start{10'000};
  std::uint32_t ejection_failures = 5;
  Milliseconds ejection_time{5'000};
  /// Most of a service's upstreams that may be ejected, in thousandths.
  std::uint32_t ejection_permille = 340;
  /// Most orders with a key that this node claims in the store each second.
  std::uint32_t order_claims_per_second = 50;
  /// Period of the upstream's heartbeats; 0: it sends none, and its health
  /// endpoint tells whether it serves.
  Milliseconds upstream_heartbeat{0};
  /// Whether the upstream may be older than this process, and is asked for its
  /// name before its first heartbeat.
  std::uint32_t ask_upstream = 1;
  /// 1: what waits is served by its objective; 0: teams and classes take turns.
  std::uint32_t order_by_objective = 0;
  /// 1: an upstream is chosen by the expected time to its answer; 0: the
  /// nearest one that has room.
  std::uint32_t place_by_time = 0;
  /// What moving a kilobyte of an answer from another zone of the region, and
  /// from another region, is worth in time.
  std::uint32_t region_kilobyte_us = 0;
  std::uint32_t beyond_kilobyte_us = 0;
  /// Taken off the time that a caller says it waits, for the way of the answer.
  Milliseconds caller_margin{0};
  /// Whether a repeatable call whose upstream answered with a server error is
  /// tried at another upstream before its caller hears of it.
  std::uint32_t retry_errors = 0;
  /// How long after the start of a shutdown all attempts at this host's
  /// upstream are taken; not above `shutdown_serve`, within which later ones
  /// must end.
  Milliseconds shutdown_accept{0};
  /// How long after the start of a shutdown calls may go on. What is open then
  /// is answered, since the process ends soon after.
  Milliseconds shutdown_finish{600'000};
  /// How long after the start of the process calls wait for it to be ready.
  Milliseconds start_wait{0};
  /// How long after the start of a shutdown callers' new requests are taken:
  /// until those who send them have learnt of it.
  Milliseconds shutdown_serve{0};
};

/// \brief All settings of one node's decision core.
struct CoreOptions {
  Member self;
  std::uint64_t seed = 1;
  ConfigOptions config;
  FleetOptions fleet;
  CallOptions calls;
};

}  // namespace cassiabend
