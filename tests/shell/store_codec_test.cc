#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <string>
#include <vector>

#include "cassiabend/store/base64.h"
#include "cassiabend/store/gateway_codec.h"
#include "cassiabend/store/watch_reader.h"

namespace cassiabend {
namespace {

const std::vector<StoreRequest>& AllRequests() {
  static const std::vector<StoreRequest> requests = {
      StoreGet{"k"},
      StoreWatch{"k", 3, Seconds(1)},
      StoreCompareAndSwap{"k", 3, "v", 9},
      StoreCompareAndDelete{"k", 3},
      StoreLeaseGrant{Seconds(9)},
      StoreLeaseKeepAlive{9},
      StoreLeaseRevoke{9},
      StorePut{"k", "v", 9},
      StoreList{"k"}};
  return requests;
}

/// \brief A complete response to a request, and the status it decodes to.
struct ResponseRow {
  StoreRequest request;
  const char* body;
  StoreStatus status;
};

const std::vector<ResponseRow>& AllResponses() {
  // In base64, "aw==" is "k" and "dg==" is "v".
  static const std::vector<ResponseRow> rows = {
      {StoreGet{"k"},
       R"({"header":{"revision":"7"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"5"}]})",
       StoreStatus::kOk},
      {StoreGet{"k"}, R"({"header":{"revision":"7"}})", StoreStatus::kOk},
      {StoreCompareAndSwap{"k", 3, "v"},
       R"({"header":{"revision":"7"},"succeeded":true})", StoreStatus::kOk},
      {StoreCompareAndSwap{"k", 3, "v"},
       R"({"header":{"revision":"7"},"responses":[{"response_range":{"kvs":[{"key":"aw==","value":"dg==","mod_revision":"5"}]}}]})",
       StoreStatus::kConflict},
      {StoreCompareAndDelete{"k", 3},
       R"({"header":{"revision":"7"},"responses":[{"response_range":{}}]})",
       StoreStatus::kConflict},
      {StoreLeaseGrant{Seconds(9)},
       R"({"header":{"revision":"7"},"ID":"12","TTL":"9"})", StoreStatus::kOk},
      {StoreLeaseKeepAlive{9}, R"({"result":{"ID":"9","TTL":"9"}})",
       StoreStatus::kOk},
      {StoreLeaseKeepAlive{9}, R"({"result":{"ID":"9"}})",
       StoreStatus::kLeaseLost},
      {StoreLeaseRevoke{9}, R"({"header":{"revision":"7"}})", StoreStatus::kOk},
      {StorePut{"k", "v"}, R"({"header":{"revision":"7"}})", StoreStatus::kOk},
      {StoreList{"k"},
       R"({"header":{"revision":"7"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"5"}]})",
       StoreStatus::kOk},
  };
  return rows;
}

StoreStatus UndecodableStatus(const StoreRequest& request) {
  return IsWrite(request) ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
}

TEST_CASE("complete responses are decoded, truncated ones prove nothing") {
  for (const ResponseRow& row : AllResponses()) {
    const std::string body = row.body;
    CAPTURE(body);
    const StoreReply reply = DecodeGatewayReply(row.request, 200, body);
    CHECK(reply.status == row.status);
    for (std::size_t n = 0; n < body.size(); ++n) {
      CAPTURE(n);
      CHECK(DecodeGatewayReply(row.request, 200, body.substr(0, n)).status ==
            UndecodableStatus(row.request));
    }
  }
}

TEST_CASE("responses to other types of request prove nothing") {
  const char* bodies[] = {"{}",
                          "[]",
                          "null",
                          R"({"succeeded":true})",
                          R"({"header":3})",
                          R"({"header":{"revision":"7"},"kvs":3})",
                          R"({"header":{"revision":"7"},"kvs":[{"key":"?"}]})",
                          R"({"header":{"revision":"7"},"responses":[]})",
                          R"({"result":3})"};
  for (const StoreRequest& request : AllRequests()) {
    if (std::holds_alternative<StoreLeaseRevoke>(request)) {
      continue;  // Any response with status 200 confirms a revocation.
    }
    for (const char* body : bodies) {
      const bool absent_key =
          std::holds_alternative<StoreGet>(request) &&
          std::string_view(body).find("responses") != std::string_view::npos;
      if (absent_key) {
        continue;  // A response without "kvs" says that the key is absent.
      }
      CAPTURE(request.index());
      CAPTURE(body);
      CHECK(DecodeGatewayReply(request, 200, body).status ==
            UndecodableStatus(request));
    }
  }
}

TEST_CASE("only a refusal proves that a write was not executed") {
  for (unsigned status = 100; status < 600; ++status) {
    if (status == 200) {
      continue;
    }
    const bool refusal =
        status >= 400 && status < 500 && status != 408 && status != 499;
    for (const StoreRequest& request : AllRequests()) {
      CAPTURE(status);
      CAPTURE(request.index());
      CHECK(DecodeGatewayReply(request, status, "oops").status ==
            (refusal ? StoreStatus::kUnavailable : UndecodableStatus(request)));
      CHECK(
          DecodeGatewayReply(request, status, R"({"executed":false})").status ==
          StoreStatus::kUnavailable);
      CHECK(
          DecodeGatewayReply(request, status, R"({"executed":true})").status ==
          (refusal ? StoreStatus::kUnavailable : UndecodableStatus(request)));
    }
  }
}

TEST_CASE("a lost lease is distinguished from other missing resources") {
  const char* lost = R"({"message":"etcdserver: requested lease not found"})";
  for (const StoreRequest& request : AllRequests()) {
    const auto* swap = std::get_if<StoreCompareAndSwap>(&request);
    const bool keeps_lease =
        std::holds_alternative<StoreLeaseKeepAlive>(request) ||
        std::holds_alternative<StoreLeaseRevoke>(request);
    const bool uses_lease = swap != nullptr || keeps_lease ||
                            std::holds_alternative<StorePut>(request);
    CAPTURE(request.index());
    CHECK(DecodeGatewayReply(request, 404, lost).status ==
          (uses_lease ? StoreStatus::kLeaseLost : StoreStatus::kUnavailable));
    CHECK(DecodeGatewayReply(request, 404, R"({"message":"no page"})").status ==
          StoreStatus::kUnavailable);
  }
}

TEST_CASE(
    "requests have the gateway's paths, and transactions one comparison") {
  const char* paths[] = {
      "/v3/kv/range",     "/v3/watch",       "/v3/kv/txn",
      "/v3/kv/txn",       "/v3/lease/grant", "/v3/lease/keepalive",
      "/v3/lease/revoke", "/v3/kv/put",      "/v3/kv/range"};
  for (std::size_t i = 0; i < AllRequests().size(); ++i) {
    const GatewayRequest request = EncodeGatewayRequest(AllRequests()[i]);
    CHECK(request.path == paths[i]);
    const boost::json::value body = boost::json::parse(request.body);
    if (request.path == "/v3/kv/txn") {
      REQUIRE(body.at("compare").as_array().size() == 1);
      CHECK(
          body.at("compare").at(0) ==
          boost::json::parse(
              R"({"target":"MOD","result":"EQUAL","key":"aw==","mod_revision":"3"})"));
    }
  }
  const boost::json::value put = boost::json::parse(
      EncodeGatewayRequest(StoreCompareAndSwap{"k", 0, "v", 9}).body);
  CHECK(put.at("success").at(0).at("request_put") ==
        boost::json::parse(R"({"key":"aw==","value":"dg==","lease":"9"})"));
}

/// \brief The response stream of a watch after revision 5, and its outcome.
struct StreamRow {
  const char* stream;
  bool decided;
  StoreStatus status;
  bool entry;
};

TEST_CASE("a watch's stream may arrive in chunks of any size") {
  const StreamRow rows[] = {
      {"", false, StoreStatus::kUnavailable, false},
      {"{\"result\":{\"header\":{\"revision\":\"6\"},\"created\":true}}\n",
       false, StoreStatus::kOk, false},
      {"{\"result\":{\"header\":{\"revision\":\"4\"},\"created\":true}}\n",
       true, StoreStatus::kUnavailable, false},
      {"{\"result\":{\"created\":true,\"header\":{\"revision\":\"6\"}}}\n"
       "{\"result\":{\"header\":{\"revision\":\"8\"},\"events\":[{\"kv\":"
       "{\"key\":\"aw==\",\"value\":\"dg==\",\"mod_revision\":\"7\"}},{\"kv\":"
       "{\"key\":\"aw==\",\"value\":\"dg==\",\"mod_revision\":\"8\"}}]}}\n",
       true, StoreStatus::kOk, true},
      {"{\"result\":{\"created\":true,\"header\":{\"revision\":\"6\"}}}\n"
       "{\"result\":{\"events\":[{\"type\":\"DELETE\",\"kv\":"
       "{\"key\":\"aw==\",\"mod_revision\":\"8\"}}]}}\n",
       true, StoreStatus::kUnavailable, false},
      {"{\"error\":{\"code\":14}}\n", true, StoreStatus::kUnavailable, false},
      {"garbage\n", true, StoreStatus::kUnavailable, false},
  };
  for (const StreamRow& row : rows) {
    const std::string stream = row.stream;
    for (std::size_t chunk_bytes = 1; chunk_bytes <= stream.size() + 1;
         ++chunk_bytes) {
      CAPTURE(stream);
      CAPTURE(chunk_bytes);
      WatchReader reader(5);
      for (std::size_t at = 0; at < stream.size(); at += chunk_bytes) {
        if (!reader.ReadChunk(stream.substr(at, chunk_bytes))) {
          break;
        }
      }
      CHECK(reader.decided() == row.decided);
      CHECK(reader.reply().status == row.status);
      CHECK(reader.reply().entry.has_value() == row.entry);
      if (row.entry) {
        CHECK(reader.reply().entry->revision == 8);
      }
    }
  }
}

TEST_CASE("any bytes survive base64, and malformed text is refused") {
  std::string bytes;
  for (int i = 0; i < 300; ++i) {
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
    bytes.push_back(static_cast<char>(i * 7));
  }
  for (const char* it : {"a", "a===", "aw=", "a w==", "aw==x", "!!!!"}) {
    CAPTURE(it);
    CHECK_FALSE(DecodeBase64(it));
  }
}

}  // namespace
}  // namespace cassiabend
