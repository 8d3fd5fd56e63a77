#include "platform/kv_codec.h"

#include <doctest/doctest.h>

namespace cassiabend::platform {
namespace {

const StoreCodec& Codec() {
  return KvCodec();
}

StoreReply Decode(const StoreRequest& request,
                  unsigned status,
                  std::string_view body) {
  return Codec().Decode(request, status, body);
}

TEST_CASE("each kind of request is encoded as its HTTP call") {
  struct Row {
    StoreRequest request;
    const char* method;
    const char* path;
    const char* body;
  };
  const Row rows[] = {
      {StoreGet{"op/config"}, "GET", "/kv-key?key=op/config", ""},
      {StoreGet{"k", 411}, "GET", "/kv-watch?prefix=k&after=411&wait_ms=1", ""},
      {StoreGet{"a b&c"}, "GET", "/kv-key?key=a%20b%26c", ""},
      {StoreList{"/x/"}, "GET", "/kv-range?prefix=/x/&serializable=1", ""},
      {StoreWatch{"k", 411, Seconds(20)}, "GET",
       "/kv-watch?prefix=k&after=411&wait_ms=20000", ""},
      {StoreWatch{"k", 1, Seconds(90)}, "GET",
       "/kv-watch?prefix=k&after=1&wait_ms=30000", ""},
      {StoreGet{"op/config", 411, {}, "op/"}, "GET",
       "/kv-watch?prefix=op/&after=411&wait_ms=1", ""},
      {StoreWatch{"op/config", 1, Seconds(3), "op/"}, "GET",
       "/kv-watch?prefix=op/&after=1&wait_ms=3000", ""},
      {StoreList{"op/rollout/", true}, "GET", "/kv-range?prefix=op/rollout/",
       ""},
      {StoreLeaseGrant{Seconds(3)}, "POST", "/kv-lease",
       R"({"ttl_time":"3000ms"})"},
      {StoreLeaseKeepAlive{77120}, "POST", "/kv-keep/77120", "{}"},
      {StoreLeaseRevoke{77120}, "DELETE", "/kv-lease-end/77120", ""},
      {StoreCompareAndSwap{"k", 0, "node-1", 7}, "POST", "/kv-txn",
       R"({"expected":[{"key":"k","rev":0}],"puts":[{"key":"k","value":"bm9kZS0x","lease_id":7}],"remove":[]})"},
      {StorePut{"k", "node-1", 0}, "POST", "/kv-txn",
       R"({"expected":[],"puts":[{"key":"k","value":"bm9kZS0x","lease_id":0}],"remove":[]})"},
      {StoreCompareAndDelete{"k", 5}, "POST", "/kv-txn",
       R"({"expected":[{"key":"k","rev":5}],"puts":[],"remove":["k"]})"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.path);
    const GatewayRequest request = Codec().Encode(row.request);
    CHECK(request.method == row.method);
    CHECK(request.path == row.path);
    CHECK(request.body == row.body);
  }
}

TEST_CASE("a watch returns changes of other keys only where they are wanted") {
  const char* body =
      R"({"events":[{"key":"op/config","value":"bm9kZS0x","rev":412},{"key":"op/rollout/a","value":"bm9kZS0x","rev":413},{"key":"op/x","rev":414,"deleted":true}],"at":530})";
  const StoreReply wanted =
      Decode(StoreWatch{"op/config", 1, Seconds(3), "op/"}, 200, body);
  CHECK(wanted.entry == StoreEntry{"op/config", "node-1", 412});
  REQUIRE(wanted.entries.size() == 2);
  CHECK(wanted.entries[0] == StoreEntry{"op/rollout/a", "node-1", 413});
  CHECK(wanted.entries[1] == StoreEntry{"op/x", "", 414});
  const StoreReply read =
      Decode(StoreGet{"op/config", 411, {}, "op/"}, 200, body);
  CHECK(read.entries.size() == 2);
  CHECK(Decode(StoreWatch{"op/config", 1, Seconds(3)}, 200, body)
            .entries.empty());
}

TEST_CASE("replies to reads are decoded") {
  const char* item =
      R"({"key":"k","value":"bm9kZS0x","rev":412,"created":412,"lease_id":0,"at":530})";
  const StoreReply got = Decode(StoreGet{"k"}, 200, item);
  CHECK(got.status == StoreStatus::kOk);
  CHECK(got.entry == StoreEntry{"k", "node-1", 412});
  CHECK(got.store_revision == 530);

  const StoreReply absent = Decode(StoreGet{"k"}, 404, R"({"at":530})");
  CHECK(absent.status == StoreStatus::kOk);
  CHECK_FALSE(absent.entry.has_value());
  CHECK(absent.store_revision == 530);

  const StoreGet newer{"k", 411};
  const StoreReply unchanged = Decode(newer, 200, R"({"events":[],"at":530})");
  CHECK(unchanged.status == StoreStatus::kOk);
  CHECK_FALSE(unchanged.entry.has_value());
  CHECK(unchanged.store_revision == 530);
  const StoreReply changed = Decode(
      newer, 200,
      R"({"events":[{"key":"k","value":"bm9kZS0x","rev":412}],"at":530})");
  CHECK(changed.entry == StoreEntry{"k", "node-1", 412});
  for (const unsigned refused : {404U, 410U}) {
    CHECK(Decode(newer, refused, "{}").status == StoreStatus::kUnavailable);
  }

  const StoreReply list = Decode(
      StoreList{"/x/"}, 200,
      R"({"items":[{"key":"/x/a","value":"bm9kZS0x","rev":4},{"key":3},"..."],"has_more":false,"at":9})");
  CHECK(list.status == StoreStatus::kOk);
  CHECK(list.entries == std::vector<StoreEntry>{{"/x/a", "node-1", 4}});
}

TEST_CASE("a watch returns the newest value of its own key") {
  const StoreWatch watch{"k", 411, Seconds(20)};
  const StoreReply changed = Decode(
      watch, 200,
      R"({"events":[{"key":"k","value":"bm9kZS0x","rev":412},{"key":"k2","value":"bm9kZS0x","rev":414},{"key":"k","value":"bm9kZS0y","rev":413},{"key":"old","rev":415,"deleted":true}],"at":415})");
  CHECK(changed.status == StoreStatus::kOk);
  CHECK(changed.entry == StoreEntry{"k", "node-2", 413});
  CHECK(changed.store_revision == 415);

  const StoreReply quiet = Decode(watch, 200, R"({"events":[],"at":415})");
  CHECK(quiet.status == StoreStatus::kOk);
  CHECK_FALSE(quiet.entry.has_value());
  CHECK(quiet.store_revision == 415);

  CHECK(Decode(watch, 410, "{}").status == StoreStatus::kUnavailable);
}

TEST_CASE(
    "a write succeeds, conflicts, loses its lease, is refused or is unknown") {
  const StoreCompareAndSwap swap{"k", 3, "v", 9};
  CHECK(Decode(swap, 200, R"({"rev":412})").status == StoreStatus::kOk);
  CHECK(Decode(swap, 200, R"({"rev":412})").entry == StoreEntry{"k", "v", 412});
  const StoreReply conflict = Decode(
      swap, 412, R"({"items":[{"key":"k","value":"bm9kZS0x","rev":7}]})");
  CHECK(conflict.status == StoreStatus::kConflict);
  CHECK(conflict.entry == StoreEntry{"k", "node-1", 7});
  CHECK(Decode(swap, 404, "{}").status == StoreStatus::kLeaseLost);
  CHECK(Decode(StoreLeaseKeepAlive{9}, 404, "").status ==
        StoreStatus::kLeaseLost);
  for (const unsigned refused : {400U, 403U, 429U, 503U}) {
    CAPTURE(refused);
    CHECK(Decode(swap, refused, "").status == StoreStatus::kUnavailable);
  }
  CHECK(Decode(swap, 500, "").status == StoreStatus::kUnknown);
  CHECK(Decode(swap, 200, "not JSON").status == StoreStatus::kUnknown);
  CHECK(Decode(StoreGet{"k"}, 500, "").status == StoreStatus::kUnavailable);
  CHECK(Decode(StoreGet{"k"}, 200, "not JSON").status ==
        StoreStatus::kUnavailable);
  CHECK(
      Decode(StoreGet{"k"}, 200, R"({"key":"k","value":"?","rev":1})").status ==
      StoreStatus::kUnavailable);
}

}  // namespace
}  // namespace cassiabend::platform
