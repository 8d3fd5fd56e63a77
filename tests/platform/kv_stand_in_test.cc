#include "platform/stand_in/kv_stand_in.h"

#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <string>
#include <vector>

#include "platform/kv_codec.h"
#include "tests/support/store_cases.h"
#include "tests/support/store_fixture.h"
#include "tools/fake_store_backend.h"

namespace cassiabend::platform {
namespace {

using testing::kStoreRequestTimeout;
using testing::StoreFaultRow;

FakeStoreOptions StoreOptions() {
  FakeStoreOptions options;
  options.extra_protocol = &KvStandIn();
  return options;
}

StoreClientOptions ClientOptions() {
  StoreClientOptions options;
  options.codec = &KvCodec();
  return options;
}

/// \brief A store client with the platform's codec, connected to the stand-in
/// of the platform's store.
struct Fixture : testing::StoreFixture {
  explicit Fixture(const FakeStoreOptions& store = StoreOptions(),
                   const StoreClientOptions& client = ClientOptions())
      : StoreFixture(store, client) {}
};

constexpr std::string_view kBytes("a\0b\xff\n\"", 6);

TEST_CASE("values are created, swapped and deleted by revision") {
  Fixture it;
  const StoreReply absent = it.Ask(StoreGet{"team a/k?&=%"});
  CHECK(absent.status == StoreStatus::kOk);
  CHECK_FALSE(absent.entry);
  CHECK(absent.store_revision > 0);

  const StoreReply created =
      it.Ask(StoreCompareAndSwap{"team a/k?&=%", 0, std::string(kBytes)});
  REQUIRE(created.status == StoreStatus::kOk);
  const StoreReply read = it.Ask(StoreGet{"team a/k?&=%"});
  CHECK(read.entry == StoreEntry{"team a/k?&=%", std::string(kBytes),
                                 created.entry->revision});

  const StoreReply lost = it.Ask(StoreCompareAndSwap{"team a/k?&=%", 0, "x"});
  CHECK(lost.status == StoreStatus::kConflict);
  CHECK(lost.entry == read.entry);
  CHECK(it.Ask(StoreCompareAndDelete{"team a/k?&=%", 1}).status ==
        StoreStatus::kConflict);
  CHECK(it.Ask(StoreCompareAndDelete{"team a/k?&=%", read.entry->revision})
            .status == StoreStatus::kOk);
  const StoreReply gone =
      it.Ask(StoreCompareAndSwap{"team a/k?&=%", read.entry->revision, "3"});
  CHECK(gone.status == StoreStatus::kConflict);
  CHECK_FALSE(gone.entry);
}

TEST_CASE("the operator's keys are refused without effect") {
  Fixture it;
  it.Control(R"({"write":{"op/config":"1"}})");
  CHECK(it.Ask(StorePut{"op/config", "2"}).status == StoreStatus::kUnavailable);
  CHECK(it.Ask(StorePut{"servers/a", "2"}).status == StoreStatus::kUnavailable);
  CHECK(it.Ask(StoreGet{"op/config"}).entry->value == "1");
  CHECK_FALSE(it.Ask(StoreGet{"servers/a"}).entry);
}

TEST_CASE("a list holds the first page of the keys with a prefix") {
  Fixture it;
  for (int i = 0; i < 501; ++i) {
    it.Control(R"({"write":{"m/)" + std::to_string(1000 + i) + R"(":"v"}})");
  }
  it.Control(R"({"write":{"n/0":"v"}})");
  const StoreReply list = it.Ask(StoreList{"m/"});
  REQUIRE(list.status == StoreStatus::kOk);
  REQUIRE(list.entries.size() == 500);
  CHECK(list.entries.front().key == "m/1000");
  CHECK(list.entries.back().key == "m/1499");
}

TEST_CASE(
    "each store fault yields a status that claims no more than is known") {
  const StoreFaultRow rows[] = {
      {R"({"down":true})", StoreStatus::kUnavailable, StoreStatus::kUnavailable,
       false},
      {R"({"reject_next":9})", StoreStatus::kUnavailable,
       StoreStatus::kUnavailable, false},
      {R"({"lose_next_answers":9})", StoreStatus::kUnavailable,
       StoreStatus::kUnknown, true},
      {R"({"mute_next_answers":9})", StoreStatus::kUnavailable,
       StoreStatus::kUnknown, true},
      {R"({"drop_next":9})", StoreStatus::kUnavailable, StoreStatus::kUnknown,
       false},
      {R"({"late_next":9,"late_ms":700})", StoreStatus::kUnavailable,
       StoreStatus::kUnknown, true},
      {R"({"slow_ms":900})", StoreStatus::kUnavailable, StoreStatus::kUnknown,
       true},
      {R"({"refuse_at":{"127.0.0.1":"unavailable"}})",
       StoreStatus::kUnavailable, StoreStatus::kUnavailable, false},
      {R"({"refuse_at":{"127.0.0.1":"too-many"}})", StoreStatus::kUnavailable,
       StoreStatus::kUnavailable, false},
      {R"({"refuse_at":{"127.0.0.1":"reset"}})", StoreStatus::kUnavailable,
       StoreStatus::kUnknown, false},
      {R"({"refuse_at":{"127.0.0.1":"silence"}})", StoreStatus::kUnavailable,
       StoreStatus::kUnknown, false},
  };
  for (const StoreFaultRow& row : rows) {
    testing::CheckStoreFault(row, StoreOptions(), ClientOptions());
  }
}

TEST_CASE("a delayed write loses to a write that was done before it") {
  Fixture it;
  it.Control(R"({"late_next":1,"late_ms":600})");
  CHECK(it.Ask(StoreCompareAndSwap{"k", 0, "late"}).status ==
        StoreStatus::kUnknown);
  const StoreReply between = it.Ask(StoreCompareAndSwap{"k", 0, "between"});
  REQUIRE(between.status == StoreStatus::kOk);
  it.RunFor(Milliseconds(800));
  CHECK(it.Ask(StoreGet{"k"}).entry == between.entry);
}

TEST_CASE("some clients are refused while the others are served") {
  FakeStoreOptions all_addresses = StoreOptions();
  all_addresses.ip = "0.0.0.0";
  Fixture it(all_addresses);
  StoreClientOptions options = ClientOptions();
  options.request_timeout = kStoreRequestTimeout;
  options.endpoints = {{"127.0.0.2", it.server.port()}};
  StoreClient second(it.io, options, &it.sink);
  for (const char* how : {"unavailable", "too-many", "reset", "silence"}) {
    CAPTURE(how);
    const std::size_t n = it.sink.replies.size();
    it.Control(R"({"refuse_at":{"127.0.0.2":")" + std::string(how) + R"("}})");
    second.Execute({{}, StoreGet{"k"}});
    it.RunUntil(n + 1);
    CHECK(it.sink.replies.back().reply.status == StoreStatus::kUnavailable);
    CHECK(it.Ask(StoreGet{"k"}).status == StoreStatus::kOk);
  }
}

TEST_CASE(
    "calls above the rate limit are refused; renewals and lists count less") {
  FakeStoreOptions store = StoreOptions();
  store.writes_per_second = 2;
  store.reads_per_second = 1;
  Fixture it(store);
  const StoreReply lease = it.Ask(StoreLeaseGrant{Seconds(30)});
  REQUIRE(lease.status == StoreStatus::kOk);
  for (int i = 0; i < 10; ++i) {
    CHECK(it.Ask(StoreLeaseKeepAlive{lease.lease}).status == StoreStatus::kOk);
    CHECK(it.Ask(StoreList{"m/"}).status == StoreStatus::kOk);
  }
  CHECK(it.Ask(StoreGet{"k"}).status == StoreStatus::kUnavailable);
  CHECK(it.Ask(StorePut{"a", "v"}).status == StoreStatus::kOk);
  CHECK(it.Ask(StorePut{"b", "v"}).status == StoreStatus::kUnavailable);
}

TEST_CASE("leases hold keys until they are revoked or lapse") {
  Fixture it;
  testing::CheckStoreLeases(&it, [](const char* key, LeaseId lease) {
    return StorePut{key, "v", lease};
  });
}

TEST_CASE("leases lapse or stand still while the store is down") {
  for (const bool pause : {false, true}) {
    CAPTURE(pause);
    Fixture it;
    const StoreReply lease = it.Ask(StoreLeaseGrant{Seconds(1)});
    REQUIRE(it.Ask(StorePut{"m/a", "v", lease.lease}).status ==
            StoreStatus::kOk);
    it.Control(pause ? R"({"down":true,"pause_leases":true})"
                     : R"({"down":true})");
    it.RunFor(Milliseconds(1'500));
    it.Control(R"({"down":false,"pause_leases":false})");
    CHECK(it.Ask(StoreGet{"m/a"}).entry.has_value() == pause);
  }
}

TEST_CASE("a watch returns a change made before or after it began") {
  Fixture it;
  testing::CheckStoreWatch(&it);
}

TEST_CASE("the end of a watch's time tells whether the store acknowledged it") {
  Fixture it;
  testing::CheckStoreWatchEnd(&it);
}

TEST_CASE("a watch of compacted history fails; a new read and watch succeed") {
  Fixture it;
  const StoreReply first = it.Ask(StoreCompareAndSwap{"k", 0, "1"});
  it.Ask(StoreCompareAndSwap{"k", first.entry->revision, "2"});
  it.Control(R"({"compact":true})");
  CHECK(it.Ask(StoreWatch{"k", first.entry->revision, Seconds(5)}).status ==
        StoreStatus::kUnavailable);
  const StoreReply read = it.Ask(StoreGet{"k"});
  CHECK(read.entry->value == "2");
  const StoreReply quiet =
      it.Ask(StoreWatch{"k", read.store_revision, Milliseconds(150)});
  CHECK(quiet.status == StoreStatus::kOk);
}

TEST_CASE("a restart ends the watches and advances the store's revision") {
  Fixture it;
  const StoreReply first = it.Ask(StoreCompareAndSwap{"k", 0, "1"});
  it.Start(StoreWatch{"k", first.entry->revision, Seconds(10)});
  it.RunFor(Milliseconds(50));
  it.Control(R"({"restart":1000})");
  it.RunUntil(2);
  CHECK(it.sink.replies.back().reply.status == StoreStatus::kUnavailable);
  const StoreReply read = it.Ask(StoreGet{"k"});
  REQUIRE(read.entry);
  CHECK(read.entry->revision == first.entry->revision);
  CHECK(read.store_revision >= first.entry->revision + 1000);
  const StoreReply second =
      it.Ask(StoreCompareAndSwap{"k", first.entry->revision, "2"});
  CHECK(second.status == StoreStatus::kOk);
}

TEST_CASE("malformed calls are refused without effect") {
  struct Row {
    const char* method;
    const char* target;
    const char* body;
  };
  const Row rows[] = {
      {"GET", "/kv-key", ""},
      {"GET", "/kv-range", ""},
      {"POST", "/kv-key?key=k", "{}"},
      {"POST", "/kv-txn", "{}"},
      {"POST", "/kv-txn", "no JSON"},
      {"POST", "/kv-lease", R"({"ttl_time":"601s"})"},
      {"POST", "/kv-lease", R"({"ttl_time":9})"},
      {"POST", "/kv-keep/x", "{}"},
      {"DELETE", "/kv-keep/1", ""},
      {"GET", "/kv-other", ""},
  };
  FakeStoreBackend gateway(9, 9, &KvStandIn());
  for (const Row& row : rows) {
    CAPTURE(row.target);
    CAPTURE(row.body);
    const FakeStoreReply answer = gateway.Execute(
        KvStandIn(), {row.method, row.target, row.body}, MonoTime());
    CHECK(answer.http_status >= 400);
    CHECK(answer.http_status < 500);
    CHECK(gateway.state().revision() == 1);
  }
  for (const char* it :
       {"/kv-watch?prefix=k&after=0&wait_ms=30001", "/kv-watch?prefix=k",
        "/kv-watch?prefix=k&after=x&wait_ms=3"}) {
    CAPTURE(it);
    CHECK_THROWS((void)KvStandIn().ParseWatch({"GET", it, ""}));
  }
}

}  // namespace
}  // namespace cassiabend::platform
