#pragma once

#include <doctest/doctest.h>

#include <string>

#include "tests/support/store_fixture.h"

// Checks that every kind of store must pass with its own client and stand-in.

namespace cassiabend::testing {

/// \brief A fault, the status of a read and of a write under it, and whether
/// the write is found in the store afterwards.
struct StoreFaultRow {
  const char* fault;
  StoreStatus read;
  StoreStatus write;
  bool took_effect;
};

/// \brief Checks one row on a new store, once with a new client and once with a
/// client that has already made a call.
inline void CheckStoreFault(const StoreFaultRow& row,
                            const FakeStoreOptions& store,
                            const StoreClientOptions& client) {
  CAPTURE(row.fault);
  for (const bool warm : {false, true}) {
    CAPTURE(warm);
    StoreFixture it(store, client);
    if (warm) {
      REQUIRE(it.Ask(StoreGet{"k"}).status == StoreStatus::kOk);
    }
    it.Control(row.fault);
    CHECK(it.Ask(StoreGet{"k"}).status == row.read);
    CHECK(it.Ask(StoreCompareAndSwap{"k", 0, "v"}).status == row.write);
    it.Control(
        R"({"down":false,"slow_ms":0,"lose_next_answers":0,"drop_next":0,)"
        R"("mute_next_answers":0,"late_next":0,"reject_next":0,)"
        R"("refuse_at":{}})");
    it.RunFor(Milliseconds(1'000));
    const StoreReply after = it.Ask(StoreGet{"k"});
    REQUIRE(after.status == StoreStatus::kOk);
    CHECK(after.entry.has_value() == row.took_effect);
  }
}

/// \brief Checks that a key disappears with its lease, and that an expired or
/// revoked lease is reported as lost.
/// \param write Builds the request that writes a key attached to a lease.
template <typename Write>
void CheckStoreLeases(StoreFixture* it, Write write) {
  const StoreReply lease = it->Ask(StoreLeaseGrant{Seconds(30)});
  REQUIRE(lease.status == StoreStatus::kOk);
  REQUIRE(it->Ask(write("m/a", lease.lease)).status == StoreStatus::kOk);
  CHECK(it->Ask(StoreLeaseKeepAlive{lease.lease}).status == StoreStatus::kOk);
  it->Control("{\"expire_lease\":" + std::to_string(lease.lease) + "}");
  CHECK_FALSE(it->Ask(StoreGet{"m/a"}).entry);
  CHECK(it->Ask(StoreLeaseKeepAlive{lease.lease}).status ==
        StoreStatus::kLeaseLost);
  CHECK(it->Ask(write("m/a", lease.lease)).status == StoreStatus::kLeaseLost);
  CHECK(it->Ask(StoreLeaseRevoke{lease.lease}).status ==
        StoreStatus::kLeaseLost);
  const StoreReply second = it->Ask(StoreLeaseGrant{Seconds(30)});
  CHECK(it->Ask(StoreLeaseRevoke{second.lease}).status == StoreStatus::kOk);
}

/// \brief Checks that a watch reports a change made before it started, and one
/// made after.
inline void CheckStoreWatch(StoreFixture* it) {
  const StoreReply first = it->Ask(StoreCompareAndSwap{"k", 0, "1"});
  const StoreRevision known = first.entry->revision;
  REQUIRE(it->Ask(StoreCompareAndSwap{"k", known, "2"}).status ==
          StoreStatus::kOk);
  const StoreReply missed = it->Ask(StoreWatch{"k", known, Seconds(10)});
  REQUIRE(missed.status == StoreStatus::kOk);
  CHECK(missed.entry->value == "2");

  const StoreRevision newest = missed.entry->revision;
  it->Start(StoreWatch{"k", newest, Seconds(10)});
  it->RunFor(Milliseconds(50));
  CHECK(it->sink.replies.size() == 3);
  it->Start(StoreCompareAndSwap{"k", newest, "3"});
  it->RunUntil(5);
  for (const StoreReplied& reply : it->sink.replies) {
    CHECK(reply.reply.status == StoreStatus::kOk);
  }
}

/// \brief Checks a watch that times out, on a store that reports the timeout
/// and on one that stays silent.
inline void CheckStoreWatchEnd(StoreFixture* it) {
  const StoreReply first = it->Ask(StoreCompareAndSwap{"k", 0, "1"});
  const StoreWatch watch{"k", first.entry->revision, Milliseconds(150)};
  const StoreReply quiet = it->Ask(watch);
  CHECK(quiet.status == StoreStatus::kOk);
  CHECK_FALSE(quiet.entry);
  it->Control(R"({"dead_watches":true})");
  CHECK(it->Ask(watch).status == StoreStatus::kUnavailable);
}

}  // namespace cassiabend::testing
