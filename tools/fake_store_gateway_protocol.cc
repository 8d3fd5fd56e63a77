#include "tools/fake_store_gateway_protocol.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <stdexcept>

#include "cassiabend/store/base64.h"

namespace cassiabend {
namespace {

namespace json = boost::json;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;

std::int64_t NumberAt(const json::object& in, std::string_view name) {
  const json::value* it = in.if_contains(name);
  if (it == nullptr) {
    return 0;
  }
  if (!it->is_string()) {
    return it->to_number<std::int64_t>();
  }
  const json::string& text = it->get_string();
  std::int64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

std::string BytesAt(const json::object& in, std::string_view name) {
  const json::value* it = in.if_contains(name);
  if (it == nullptr) {
    return {};
  }
  const std::optional<std::string> bytes = DecodeBase64(it->as_string());
  if (!bytes) {
    throw std::invalid_argument(std::string(name) + " is not base64");
  }
  return *bytes;
}

json::object Header(const FakeStoreState& state) {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(state.revision())},
          {"raft_term", "1"}};
}

json::array KeyValues(const FakeStoreState& state, const std::string& key) {
  json::array out;
  if (const std::optional<FakeStoreItem> item = state.Find(key)) {
    out.push_back(ToGatewayJson(item->entry));
  }
  return out;
}

FakeStoreReply Range(const json::object& body,
                     FakeStoreState* state,
                     MonoTime /*now*/) {
  json::array kvs = KeyValues(*state, BytesAt(body, "key"));
  json::object reply = {{"header", Header(*state)}};
  if (!kvs.empty()) {
    reply["count"] = std::to_string(kvs.size());
    reply["kvs"] = std::move(kvs);
  }
  return {200, std::move(reply)};
}

FakeStoreReply ApplyOperation(const json::object& operation,
                              FakeStoreState* state) {
  if (const json::value* put = operation.if_contains("request_put")) {
    const json::object& request = put->as_object();
    const std::string value = BytesAt(request, "value");
    const LeaseId lease = NumberAt(request, "lease");
    if (value.size() > kStoreValueLimitBytes) {
      return MakeErrorReply(kBadRequest, "request is too large");
    }
    if (lease != 0 && !state->HasLease(lease)) {
      return MakeErrorReply(kNotFound, "requested lease not found");
    }
    state->Put(BytesAt(request, "key"), value, lease);
  } else {
    const json::value& removal = operation.at("request_delete_range");
    state->Remove(BytesAt(removal.as_object(), "key"));
  }
  return {200, {{"header", Header(*state)}, {"succeeded", true}}};
}

FakeStoreReply Transaction(const json::object& body,
                           FakeStoreState* state,
                           MonoTime /*now*/) {
  const json::array& compares = body.at("compare").as_array();
  if (compares.size() != 1) {
    return MakeErrorReply(kBadRequest, "exactly one comparison is supported");
  }
  const json::object& compare = compares.front().as_object();
  const std::string key = BytesAt(compare, "key");
  if (state->RevisionOf(key) == NumberAt(compare, "mod_revision")) {
    return ApplyOperation(body.at("success").as_array().at(0).as_object(),
                          state);
  }
  const json::object range = {{"header", Header(*state)},
                              {"kvs", KeyValues(*state, key)}};
  const json::object response = {{"response_range", range}};
  return {200,
          {{"header", Header(*state)}, {"responses", json::array{response}}}};
}

FakeStoreReply Grant(const json::object& body,
                     FakeStoreState* state,
                     MonoTime now) {
  const std::int64_t ttl = NumberAt(body, "TTL");
  if (ttl <= 0) {
    return MakeErrorReply(kBadRequest, "TTL must be positive");
  }
  const LeaseId id = state->GrantLease(Seconds(ttl), now);
  return {200,
          {{"header", Header(*state)},
           {"ID", std::to_string(id)},
           {"TTL", std::to_string(ttl)}}};
}

FakeStoreReply KeepAlive(const json::object& body,
                         FakeStoreState* state,
                         MonoTime now) {
  const LeaseId id = NumberAt(body, "ID");
  json::object result = {{"header", Header(*state)},
                         {"ID", std::to_string(id)}};
  if (const std::optional<Milliseconds> ttl = state->RenewLease(id, now)) {
    result["TTL"] =
        std::to_string(std::chrono::duration_cast<Seconds>(*ttl).count());
  }
  return {200, {{"result", std::move(result)}}};
}

FakeStoreReply Revoke(const json::object& body,
                      FakeStoreState* state,
                      MonoTime /*now*/) {
  if (!state->EndLease(NumberAt(body, "ID"))) {
    return MakeErrorReply(kNotFound, "requested lease not found");
  }
  return {200, {{"header", Header(*state)}}};
}

struct Endpoint {
  const char* path;
  FakeStoreReply (*call)(const json::object&, FakeStoreState*, MonoTime);
};

constexpr Endpoint kEndpoints[] = {
    {"/v3/kv/range", &Range},      {"/v3/kv/txn", &Transaction},
    {"/v3/lease/grant", &Grant},   {"/v3/lease/keepalive", &KeepAlive},
    {"/v3/lease/revoke", &Revoke}, {"/v3/kv/lease/revoke", &Revoke},
};

constexpr char kWatchPath[] = "/v3/watch";

class GatewayProtocol final : public FakeStoreProtocol {
 public:
  [[nodiscard]] bool Handles(std::string_view target) const override {
    return target.starts_with("/v3/");
  }

  [[nodiscard]] FakeStoreCost CostOf(const FakeStoreCall& call) const override {
    return {.write =
                call.target != "/v3/kv/range" && call.target != kWatchPath};
  }

  [[nodiscard]] std::optional<FakeStoreWatch> ParseWatch(
      const FakeStoreCall& call) const override {
    if (call.target != kWatchPath) {
      return std::nullopt;
    }
    const json::value body = json::parse(call.body);
    const json::object& create = body.at("create_request").as_object();
    return FakeStoreWatch{.key = BytesAt(create, "key"),
                          .from = NumberAt(create, "start_revision")};
  }

  [[nodiscard]] FakeStoreReply MakeWatchReply(
      std::span<const FakeStoreEvent> /*events*/,
      StoreRevision /*revision*/) const override {
    throw std::logic_error("the gateway's watches are streams");
  }

  [[nodiscard]] FakeStoreReply Execute(const FakeStoreCall& call,
                                       FakeStoreState* state,
                                       MonoTime now) const override {
    const json::value body = json::parse(call.body);
    for (const Endpoint& it : kEndpoints) {
      if (call.target == it.path) {
        return it.call(body.as_object(), state, now);
      }
    }
    return MakeErrorReply(kNotFound, "no such path");
  }
};

}  // namespace

json::object ToGatewayJson(const StoreEntry& entry) {
  return {{"key", EncodeBase64(entry.key)},
          {"value", EncodeBase64(entry.value)},
          {"mod_revision", std::to_string(entry.revision)}};
}

const FakeStoreProtocol& FakeGatewayProtocol() {
  static const GatewayProtocol protocol;
  return protocol;
}

}  // namespace cassiabend
