#include "cassiabend/store/gateway_codec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>

#include "cassiabend/store/base64.h"

namespace cassiabend {
namespace {

namespace json = boost::json;

/// Maximum number of keys in a list reply. Only the first page is read: it is
/// enough to find peers.
constexpr std::int64_t kListLimit = 500;

// The gateway encodes 64-bit numbers as JSON strings.
std::string EncodeNumber(std::int64_t n) {
  return std::to_string(n);
}

std::int64_t ParseNumber(const json::value* value) {
  if (value == nullptr) {
    return 0;
  }
  if (value->is_int64()) {
    return value->get_int64();
  }
  if (!value->is_string()) {
    return 0;
  }
  const json::string& text = value->get_string();
  std::int64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

const json::object* ObjectAt(const json::object& in, std::string_view name) {
  const json::value* it = in.if_contains(name);
  return it == nullptr ? nullptr : it->if_object();
}

std::int64_t NumberAt(const json::object& in, std::string_view name) {
  return ParseNumber(in.if_contains(name));
}

bool FlagAt(const json::object& in, std::string_view name) {
  const json::value* it = in.if_contains(name);
  return it != nullptr && it->is_bool() && it->get_bool();
}

std::optional<std::string> BytesAt(const json::object& in,
                                   std::string_view name) {
  const json::value* it = in.if_contains(name);
  if (it == nullptr) {
    return std::string();
  }
  return it->is_string() ? DecodeBase64(it->get_string()) : std::nullopt;
}

StoreRevision ParseRevision(const json::object& response) {
  const json::object* header = ObjectAt(response, "header");
  return header == nullptr ? 0 : NumberAt(*header, "revision");
}

std::optional<StoreEntry> ParseEntry(const json::object& kv) {
  std::optional<std::string> key = BytesAt(kv, "key");
  std::optional<std::string> value = BytesAt(kv, "value");
  if (!key || !value) {
    return std::nullopt;
  }
  return StoreEntry{std::move(*key), std::move(*value),
                    NumberAt(kv, "mod_revision")};
}

/// \brief Parses the first entry of a range response.
/// \returns Whether the response is well formed.
bool ParseFirstEntry(const json::object& range,
                     std::optional<StoreEntry>* entry) {
  const json::value* kvs = range.if_contains("kvs");
  if (kvs == nullptr) {
    return true;
  }
  if (!kvs->is_array()) {
    return false;
  }
  if (kvs->get_array().empty()) {
    return true;
  }
  const json::object* kv = kvs->get_array().front().if_object();
  if (kv != nullptr) {
    *entry = ParseEntry(*kv);
  }
  return entry->has_value();
}

/// \brief Parses all entries of a range response.
/// \returns Whether the response is well formed.
bool ParseEntries(const json::object& range, std::vector<StoreEntry>* entries) {
  const json::value* kvs = range.if_contains("kvs");
  if (kvs == nullptr) {
    return true;
  }
  if (!kvs->is_array()) {
    return false;
  }
  for (const json::value& it : kvs->get_array()) {
    const json::object* kv = it.if_object();
    std::optional<StoreEntry> entry =
        kv == nullptr ? std::nullopt : ParseEntry(*kv);
    if (!entry) {
      return false;
    }
    entries->push_back(std::move(*entry));
  }
  return true;
}

json::object EncodeRevisionCompare(const std::string& key,
                                   StoreRevision expected) {
  return {{"target", "MOD"},
          {"result", "EQUAL"},
          {"key", EncodeBase64(key)},
          {"mod_revision", EncodeNumber(expected)}};
}

/// \returns The put request of a request that writes one key.
template <typename Write>
json::object EncodePut(const Write& it) {
  json::object put = {{"key", EncodeBase64(it.key)},
                      {"value", EncodeBase64(it.value)}};
  if (it.lease != 0) {
    put["lease"] = EncodeNumber(it.lease);
  }
  return put;
}

std::string EncodeTransaction(const std::string& key,
                              StoreRevision expected,
                              json::object success) {
  const json::object read = {
      {"request_range", json::object{{"key", EncodeBase64(key)}}}};
  const json::object body = {
      {"compare", json::array{EncodeRevisionCompare(key, expected)}},
      {"success", json::array{std::move(success)}},
      {"failure", json::array{read}}};
  return json::serialize(body);
}

/// \brief Encodes each type of request.
struct RequestEncoder {
  GatewayRequest operator()(const StoreGet& it) const {
    return {"/v3/kv/range",
            json::serialize(json::object{{"key", EncodeBase64(it.key)}})};
  }
  GatewayRequest operator()(const StoreCompareAndSwap& it) const {
    return {"/v3/kv/txn", EncodeTransaction(it.key, it.expected,
                                            {{"request_put", EncodePut(it)}})};
  }
  GatewayRequest operator()(const StorePut& it) const {
    return {"/v3/kv/put", json::serialize(EncodePut(it))};
  }
  GatewayRequest operator()(const StoreList& it) const {
    // The range of a prefix ends at the prefix with its last byte incremented.
    std::string end = it.prefix;
    if (!end.empty()) {
      ++end.back();
    }
    return {"/v3/kv/range",
            json::serialize(json::object{{"key", EncodeBase64(it.prefix)},
                                         {"range_end", EncodeBase64(end)},
                                         {"limit", EncodeNumber(kListLimit)}})};
  }
  GatewayRequest operator()(const StoreCompareAndDelete& it) const {
    const json::object range = {{"key", EncodeBase64(it.key)}};
    return {"/v3/kv/txn", EncodeTransaction(it.key, it.expected,
                                            {{"request_delete_range", range}})};
  }
  GatewayRequest operator()(const StoreWatch& it) const {
    const json::object create = {
        {"key", EncodeBase64(it.key)},
        {"start_revision", EncodeNumber(it.after + 1)}};
    return {"/v3/watch",
            json::serialize(json::object{{"create_request", create}})};
  }
  GatewayRequest operator()(const StoreLeaseGrant& it) const {
    return {
        "/v3/lease/grant",
        json::serialize(json::object{{"TTL", EncodeNumber(it.ttl.count())}})};
  }
  GatewayRequest operator()(const StoreLeaseKeepAlive& it) const {
    return {"/v3/lease/keepalive",
            json::serialize(json::object{{"ID", EncodeNumber(it.lease)}})};
  }
  GatewayRequest operator()(const StoreLeaseRevoke& it) const {
    return {"/v3/lease/revoke",
            json::serialize(json::object{{"ID", EncodeNumber(it.lease)}})};
  }
};

bool ParseTransaction(const std::string& key,
                      const json::object& response,
                      StoreReply* reply) {
  if (FlagAt(response, "succeeded")) {
    reply->status = StoreStatus::kOk;
    reply->entry = StoreEntry{key, {}, reply->store_revision};
    return reply->store_revision != 0;
  }
  reply->status = StoreStatus::kConflict;
  const json::value* responses = response.if_contains("responses");
  if (responses == nullptr || !responses->is_array() ||
      responses->get_array().empty() ||
      !responses->get_array().front().is_object()) {
    return false;
  }
  const json::object& first = responses->get_array().front().get_object();
  const json::object* range = ObjectAt(first, "response_range");
  return range != nullptr && ParseFirstEntry(*range, &reply->entry);
}

/// \brief Decodes the response to each type of request.
/// \returns Whether the response is well formed.
struct ResponseDecoder {
  const json::object& response;
  StoreReply* reply;

  bool operator()(const StoreGet& /*it*/) const {
    return reply->store_revision != 0 &&
           ParseFirstEntry(response, &reply->entry);
  }
  bool operator()(const StoreCompareAndSwap& it) const {
    const bool ok = ParseTransaction(it.key, response, reply);
    if (ok && reply->status == StoreStatus::kOk) {
      reply->entry->value = it.value;
    }
    return ok;
  }
  bool operator()(const StorePut& it) const {
    for (const json::key_value_pair& field : response) {
      if (field.key() != "header" && field.key() != "prev_kv") {
        return false;
      }
    }
    reply->entry = StoreEntry{it.key, it.value, reply->store_revision};
    return reply->store_revision != 0;
  }
  bool operator()(const StoreList& /*it*/) const {
    return reply->store_revision != 0 && !response.contains("responses") &&
           ParseEntries(response, &reply->entries);
  }
  bool operator()(const StoreCompareAndDelete& it) const {
    const bool ok = ParseTransaction(it.key, response, reply);
    if (ok && reply->status == StoreStatus::kOk) {
      reply->entry.reset();
    }
    return ok;
  }
  bool operator()(const StoreWatch& /*it*/) const { return false; }
  bool operator()(const StoreLeaseGrant& /*it*/) const {
    reply->lease = NumberAt(response, "ID");
    return reply->lease != 0;
  }
  bool operator()(const StoreLeaseKeepAlive& it) const {
    const json::object* result = ObjectAt(response, "result");
    if (result == nullptr) {
      return false;
    }
    reply->lease = it.lease;
    if (NumberAt(*result, "TTL") <= 0) {
      reply->status = StoreStatus::kLeaseLost;
    }
    return true;
  }
  bool operator()(const StoreLeaseRevoke& it) const {
    reply->lease = it.lease;
    return true;
  }
};

/// \returns Whether a response proves that the request was not executed.
bool IsRefusal(unsigned http_status, const json::object* response) {
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kClientClosedRequest = 499;
  const bool client_error = http_status >= 400 && http_status < 500;
  if (client_error && http_status != kRequestTimeout &&
      http_status != kClientClosedRequest) {
    return true;
  }
  const json::value* executed =
      response == nullptr ? nullptr : response->if_contains("executed");
  return executed != nullptr && executed->is_bool() && !executed->get_bool();
}

bool UsesLease(const StoreRequest& request) {
  if (const auto* swap = std::get_if<StoreCompareAndSwap>(&request)) {
    return swap->lease != 0;
  }
  if (const auto* put = std::get_if<StorePut>(&request)) {
    return put->lease != 0;
  }
  return std::holds_alternative<StoreLeaseKeepAlive>(request) ||
         std::holds_alternative<StoreLeaseRevoke>(request);
}

bool ReportsLostLease(unsigned http_status, const json::object* response) {
  constexpr unsigned kNotFound = 404;
  constexpr std::string_view kMessage = "lease not found";
  if (http_status != kNotFound || response == nullptr) {
    return false;
  }
  const json::value* message = response->if_contains("message");
  return message != nullptr && message->is_string() &&
         std::string_view(message->get_string()).find(kMessage) !=
             std::string_view::npos;
}

StoreStatus StatusOfFailure(const StoreRequest& request,
                            unsigned http_status,
                            const json::object* response) {
  if (UsesLease(request) && ReportsLostLease(http_status, response)) {
    return StoreStatus::kLeaseLost;
  }
  if (!IsWrite(request) || IsRefusal(http_status, response)) {
    return StoreStatus::kUnavailable;
  }
  return StoreStatus::kUnknown;
}

}  // namespace

bool IsWrite(const StoreRequest& request) noexcept {
  return !std::holds_alternative<StoreGet>(request) &&
         !std::holds_alternative<StoreList>(request) &&
         !std::holds_alternative<StoreWatch>(request);
}

GatewayRequest EncodeGatewayRequest(const StoreRequest& request) {
  return std::visit(RequestEncoder{}, request);
}

StoreReply DecodeGatewayReply(const StoreRequest& request,
                              unsigned http_status,
                              std::string_view body) {
  constexpr unsigned kOkStatus = 200;
  boost::system::error_code ec;
  const json::value parsed = json::parse(body, ec);
  const json::object* response = ec ? nullptr : parsed.if_object();
  StoreReply reply;
  if (http_status != kOkStatus || response == nullptr) {
    reply.status = StatusOfFailure(request, http_status, response);
    return reply;
  }
  reply.status = StoreStatus::kOk;
  reply.store_revision = ParseRevision(*response);
  if (!std::visit(ResponseDecoder{*response, &reply}, request)) {
    reply = StoreReply{};
    reply.status =
        IsWrite(request) ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
  }
  return reply;
}

std::optional<WatchMessage> DecodeWatchMessage(std::string_view text) {
  boost::system::error_code ec;
  const json::value parsed = json::parse(text, ec);
  const json::object* message = ec ? nullptr : parsed.if_object();
  const json::object* result =
      message == nullptr ? nullptr : ObjectAt(*message, "result");
  if (result == nullptr) {
    return std::nullopt;
  }
  WatchMessage out;
  out.created = FlagAt(*result, "created");
  out.canceled = FlagAt(*result, "canceled");
  out.compact_revision = NumberAt(*result, "compact_revision");
  out.store_revision = ParseRevision(*result);
  const json::value* events = result->if_contains("events");
  if (events == nullptr || !events->is_array() || events->get_array().empty()) {
    return out;
  }
  const json::object* event = events->get_array().back().if_object();
  const json::object* kv = event == nullptr ? nullptr : ObjectAt(*event, "kv");
  if (kv == nullptr) {
    return std::nullopt;
  }
  const json::value* type = event->if_contains("type");
  out.removed = type != nullptr && *type == "DELETE";
  out.entry = ParseEntry(*kv);
  return out.entry ? std::optional(std::move(out)) : std::nullopt;
}

}  // namespace cassiabend
