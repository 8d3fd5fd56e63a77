#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <string>
#include <vector>

#include "cassiabend/base/clock.h"
#include "cassiabend/base/error.h"
#include "cassiabend/store/store_client.h"
#include "tests/support/raw_peer.h"
#include "tests/support/store_cases.h"
#include "tests/support/store_fixture.h"
#include "tools/fake_store_server.h"

namespace cassiabend {
namespace {

using testing::kStoreRequestTimeout;
using testing::StoreFaultRow;
using Fixture = testing::StoreFixture;

constexpr std::string_view kBinaryValue("a\0b\xff\n\"", 6);

TEST_CASE("values are created, swapped and deleted by revision") {
  Fixture it;
  const StoreReply absent = it.Ask(StoreGet{"k"});
  CHECK(absent.status == StoreStatus::kOk);
  CHECK_FALSE(absent.entry);
  CHECK(absent.store_revision > 0);

  const StoreReply created =
      it.Ask(StoreCompareAndSwap{"k", 0, std::string(kBinaryValue)});
  REQUIRE(created.status == StoreStatus::kOk);
  const StoreReply read = it.Ask(StoreGet{"k"});
  CHECK(read.entry ==
        StoreEntry{"k", std::string(kBinaryValue), created.entry->revision});

  const StoreReply lost = it.Ask(StoreCompareAndSwap{"k", 0, "other"});
  CHECK(lost.status == StoreStatus::kConflict);
  CHECK(lost.entry == read.entry);
  const StoreReply swapped =
      it.Ask(StoreCompareAndSwap{"k", read.entry->revision, "2"});
  REQUIRE(swapped.status == StoreStatus::kOk);
  CHECK(swapped.entry->revision > read.entry->revision);

  CHECK(it.Ask(StoreCompareAndDelete{"k", read.entry->revision}).status ==
        StoreStatus::kConflict);
  CHECK(it.Ask(StoreCompareAndDelete{"k", swapped.entry->revision}).status ==
        StoreStatus::kOk);
  const StoreReply conflict =
      it.Ask(StoreCompareAndSwap{"k", swapped.entry->revision, "3"});
  CHECK(conflict.status == StoreStatus::kConflict);
  CHECK_FALSE(conflict.entry);
}

TEST_CASE("each reply is posted once, to the reducer of its caller's role") {
  Fixture it;
  it.Start(StoreGet{"k"}, StoreClientRole::kCommit);
  it.RunUntil(1);
  it.Start(StoreGet{"k"}, StoreClientRole::kCleanup);
  it.RunUntil(2);
  it.Start(StoreGet{"k"}, StoreClientRole::kFleet);
  it.RunUntil(3);
  it.Start(StoreGet{"k"}, StoreClientRole::kCalls);
  it.RunUntil(4);
  CHECK(it.sink.receivers ==
        std::vector<std::string>{"config", "config", "fleet", "calls"});
  CHECK(it.sink.replies[2].id == StoreCallId{StoreClientRole::kFleet, 3});
}

TEST_CASE(
    "after a fault, a write that may have executed is never reported"
    " as unavailable") {
  const StoreFaultRow rows[] = {
      {R"({"down":true})", StoreStatus::kUnavailable, StoreStatus::kUnavailable,
       false},
      {R"({"reject_next":9})", StoreStatus::kUnavailable,
       StoreStatus::kUnavailable, false},
      {R"({"lose_next_answers":9})", StoreStatus::kUnavailable,
       StoreStatus::kUnknown, true},
      {R"({"drop_next":9})", StoreStatus::kUnavailable, StoreStatus::kUnknown,
       false},
      {R"({"slow_ms":900})", StoreStatus::kUnavailable, StoreStatus::kUnknown,
       true},
  };
  for (const StoreFaultRow& row : rows) {
    testing::CheckStoreFault(row, {}, {});
  }
}

TEST_CASE(
    "a closed port proves that nothing was sent, and the next endpoint is "
    "tried") {
  Fixture it;
  StoreClientOptions options;
  options.request_timeout = kStoreRequestTimeout;
  boost::asio::ip::tcp::acceptor closed(
      it.io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::uint16_t closed_port = closed.local_endpoint().port();
  closed.close();
  options.endpoints = {{"127.0.0.1", closed_port}};
  StoreClient unreachable(it.io, options, &it.sink);
  unreachable.Execute({{}, StoreCompareAndSwap{"k", 0, "v"}});
  it.RunUntil(1);
  CHECK(it.sink.replies[0].reply.status == StoreStatus::kUnavailable);

  options.endpoints.push_back({"127.0.0.1", it.server.port()});
  StoreClient second(it.io, options, &it.sink);
  second.Execute({{}, StoreCompareAndSwap{"k", 0, "v"}});
  it.RunUntil(2);
  CHECK(it.sink.replies[1].reply.status == StoreStatus::kOk);
}

TEST_CASE("a call moves from an endpoint that is down to the next") {
  Fixture it;
  FakeStoreServer down(it.io, {});
  down.Control(R"({"down":true})");
  StoreClientOptions options;
  options.endpoints = {{"127.0.0.1", down.port()},
                       {"127.0.0.1", it.server.port()}};
  StoreClient client(it.io, options, &it.sink);
  client.Execute({{}, StoreCompareAndSwap{"k", 0, "v"}});
  it.RunUntil(1);
  client.Execute({{}, StoreGet{"k"}});
  it.RunUntil(2);
  CHECK(it.sink.replies[0].reply.status == StoreStatus::kOk);
  CHECK(it.sink.replies[1].reply.entry);
  // Later calls try the endpoint that replied first.
  CHECK(boost::json::parse(down.Stats()).at("refused") == 1);
}

TEST_CASE(
    "a call on a dead connection is retried on a new one only if it is a "
    "read") {
  Fixture it;
  for (int i = 0; i < 4; ++i) {
    it.Start(StoreGet{"k"});
  }
  it.RunUntil(4);
  it.server.Control(R"({"silence_open":true})");
  CHECK(it.Ask(StoreGet{"k"}).status == StoreStatus::kOk);
  it.server.Control(R"({"silence_open":true})");
  CHECK(it.Ask(StoreCompareAndSwap{"k", 0, "v"}).status ==
        StoreStatus::kUnknown);
  CHECK(it.Ask(StoreCompareAndSwap{"k", 0, "v"}).status == StoreStatus::kOk);
}

TEST_CASE("a read may have a shorter time limit than other calls") {
  StoreClientOptions options;
  options.request_timeout = Milliseconds(60'000);
  Fixture it({}, options);
  it.server.Control(R"({"mute_next_answers":9})");
  CHECK(it.Ask(StoreGet{"k", 0, Milliseconds(50)}).status ==
        StoreStatus::kUnavailable);
}

TEST_CASE("a second answer of the store answers no other call") {
  boost::asio::io_context io;
  RawServer server(io);
  testing::StoreReplySink sink;
  StoreClientOptions options;
  options.endpoints = {{"127.0.0.1", server.port()}};
  StoreClient client(io, options, &sink);
  const auto answer = [](const char* revision) {
    const std::string body =
        std::string(R"({"header":{"revision":")") + revision + R"("}})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  };
  client.Execute({{StoreClientRole::kFleet, 1}, StoreGet{"k"}});
  REQUIRE(RunUntil(io, [&] { return server.peers().size() == 1; }));
  server.peers()[0]->Send(answer("5") + answer("6"));
  REQUIRE(RunUntil(io, [&] { return sink.replies.size() == 1; }));
  client.Execute({{StoreClientRole::kFleet, 2}, StoreGet{"k"}});
  REQUIRE(RunUntil(io, [&] { return server.peers().size() == 2; }));
  server.peers()[1]->Send(answer("7"));
  REQUIRE(RunUntil(io, [&] { return sink.replies.size() == 2; }));
  CHECK(sink.replies[0].reply.store_revision == 5);
  CHECK(sink.replies[1].reply.store_revision == 7);
}

TEST_CASE("reads from a slow store are not sent twice") {
  StoreClientOptions options;
  options.request_timeout = Milliseconds(4'000);
  Fixture it({}, options);
  REQUIRE(it.Ask(StoreGet{"k"}).status == StoreStatus::kOk);
  it.server.Control(R"({"slow_ms":1300})");
  const auto reads = [&] {
    return boost::json::parse(it.server.Stats()).at("reads").to_number<int>();
  };
  CHECK(it.Ask(StoreGet{"k"}).status == StoreStatus::kOk);
  const int before = reads();
  CHECK(it.Ask(StoreGet{"k"}).status == StoreStatus::kOk);
  CHECK(reads() == before + 1);
}

TEST_CASE("calls over the rate are refused without effect") {
  FakeStoreOptions store;
  store.writes_per_second = 1;
  Fixture it(store);
  CHECK(it.Ask(StoreCompareAndSwap{"a", 0, "v"}).status == StoreStatus::kOk);
  CHECK(it.Ask(StoreCompareAndSwap{"b", 0, "v"}).status ==
        StoreStatus::kUnavailable);
  CHECK_FALSE(it.Ask(StoreGet{"b"}).entry);
}

TEST_CASE("values over the limit are refused without effect") {
  Fixture it;
  const std::string largest(kStoreValueLimitBytes, 'x');
  CHECK(it.Ask(StoreCompareAndSwap{"a", 0, largest}).status ==
        StoreStatus::kOk);
  CHECK(it.Ask(StoreCompareAndSwap{"b", 0, largest + "x"}).status ==
        StoreStatus::kUnavailable);
}

TEST_CASE("requests beyond the waiting limit fail, the others succeed") {
  StoreClientOptions options;
  options.max_connections = 1;
  options.max_waiting = 2;
  Fixture it({}, options);
  for (int i = 0; i < 5; ++i) {
    it.Start(StoreGet{"k"});
  }
  it.RunUntil(5);
  std::size_t ok = 0;
  for (const StoreReplied& reply : it.sink.replies) {
    ok += reply.reply.status == StoreStatus::kOk ? 1 : 0;
  }
  CHECK(ok == 3);
}

TEST_CASE("keys exist until their lease is revoked or expires") {
  Fixture it;
  testing::CheckStoreLeases(&it, [](const char* key, LeaseId lease) {
    return StoreCompareAndSwap{key, 0, "v", lease};
  });
}

TEST_CASE("a watch returns a change made before or after it began") {
  Fixture it;
  testing::CheckStoreWatch(&it);
}

TEST_CASE("a watch that times out is ok only if the store acknowledged it") {
  Fixture it;
  testing::CheckStoreWatchEnd(&it);
}

TEST_CASE(
    "a watch survives compaction and detects a store restored to older data") {
  Fixture it;
  const StoreReply first = it.Ask(StoreCompareAndSwap{"k", 0, "1"});
  it.server.Control(R"({"save":"old"})");
  const StoreReply second =
      it.Ask(StoreCompareAndSwap{"k", first.entry->revision, "2"});
  it.Ask(StoreCompareAndSwap{"other", 0, "x"});
  it.server.Control(R"({"compact":true})");
  const StoreReply moved =
      it.Ask(StoreWatch{"k", first.entry->revision, Seconds(5)});
  REQUIRE(moved.status == StoreStatus::kOk);
  CHECK(moved.entry->value == "2");
  const StoreReply still =
      it.Ask(StoreWatch{"k", second.entry->revision, Milliseconds(200)});
  CHECK(still.status == StoreStatus::kOk);
  CHECK_FALSE(still.entry);

  it.server.Control(R"({"restore":"old"})");
  const StoreReply older =
      it.Ask(StoreWatch{"k", second.entry->revision, Seconds(5)});
  CHECK(older.status == StoreStatus::kUnavailable);
}

TEST_CASE("a reply carries the time at which its request was sent") {
  Fixture it;
  const SystemClock clock;
  const MonoTime before = clock.Now().mono;
  it.server.Control(R"({"slow_ms":100})");
  const StoreReply reply = it.Ask(StoreGet{"k"});
  CHECK(reply.sent_at >= before);
  CHECK(reply.sent_at <= clock.Now().mono - Milliseconds(100));
}

TEST_CASE("closing replies to every call in progress") {
  Fixture it;
  it.server.Control(R"({"slow_ms":250})");
  it.Start(StoreCompareAndSwap{"k", 0, "v"});
  it.Start(StoreWatch{"k", 1, Seconds(10)});
  it.RunFor(Milliseconds(50));
  it.client.Close();
  it.Start(StoreGet{"k"});
  it.RunUntil(3);
  for (const StoreReplied& reply : it.sink.replies) {
    const bool write = reply.id.sequence == 1;
    CHECK(reply.reply.status ==
          (write ? StoreStatus::kUnknown : StoreStatus::kUnavailable));
  }
}

}  // namespace
}  // namespace cassiabend
