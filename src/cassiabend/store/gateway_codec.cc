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
std::string Number(std::int64_t n) {
  return std::to_string(n);
}

std::int64_t ToNumber(const json::value* value) {
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
  return ToNumber(in.if_contains(name));
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

StoreRevision RevisionOf(const json::object& answer) {
  const json::object* header = ObjectAt(answer, "header");
  return header == nullptr ? 0 : NumberAt(*header, "revision");
}

std::optional<StoreEntry> EntryOf(const json::object& kv) {
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
bool ReadRange(const json::object& range, std::optional<StoreEntry>* entry) {
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
    *entry = EntryOf(*kv);
  }
  return entry->has_value();
}

/// \brief Parses all entries of a range response.
/// \returns Whether the response is well formed.
bool ReadEntries(const json::object& range, std::vector<StoreEntry>* entries) {
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
        kv == nullptr ? std::nullopt : EntryOf(*kv);
    if (!entry) {
      return false;
    }
    entries->push_back(std::move(*entry));
  }
  return true;
}

json::object CompareRevision(const std::string& key, StoreRevision expected) {
  return {{"target", "MOD"},
          {"result", "EQUAL"},
          {"key", EncodeBase64(key)},
          {"mod_revision", Number(expected)}};
}

/// \returns The put request of a request that writes one key.
template <typename Write>
json::object PutOf(const Write& it) {
  json::object put = {{"key", EncodeBase64(it.key)},
                      {"value", EncodeBase64(it.value)}};
  if (it.lease != 0) {
    put["lease"] = Number(it.lease);
  }
  return put;
}

std::string Transaction(const std::string& key,
                        StoreRevision expected,
                        json::object success) {
  const json::object read = {
      {"request_range", json::object{{"key", EncodeBase64(key)}}}};
  const json::object body = {
      {"compare", json::array{CompareRevision(key, expected)}},
      {"success", json::array{std::move(success)}},
      {"failure", json::array{read}}};
  return json::serialize(body);
}

/// \brief Encodes each type of request.
struct Encoder {
  GatewayRequest operator()(const StoreGet& it) const {
    return {"/v3/kv/range",
            json::serialize(json::object{{"key", EncodeBase64(it.key)}})};
  }
  GatewayRequest operator()(const StoreCompareAndSwap& it) const {
    return {"/v3/kv/txn",
            Transaction(it.key, it.expected, {{"request_put", PutOf(it)}})};
  }
  GatewayRequest operator()(const StorePut& it) const {
    return {"/v3/kv/put", json::serialize(PutOf(it))};
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
                                         {"limit", Number(kListLimit)}})};
  }
  GatewayRequest operator()(const StoreCompareAndDelete& it) const {
    const json::object range = {{"key", EncodeBase64(it.key)}};
    return {"/v3/kv/txn", Transaction(it.key, it.expected,
                                      {{"request_delete_range", range}})};
  }
  GatewayRequest operator()(const StoreWatch& it) const {
    const json::object create = {{"key", EncodeBase64(it.key)},
                                 {"start_revision", Number(it.after + 1)}};
    return {"/v3/watch",
            json::serialize(json::object{{"create_request", create}})};
  }
  GatewayRequest operator()(const StoreLeaseGrant& it) const {
    return {"/v3/lease/grant",
            json::serialize(json::object{{"TTL", Number(it.ttl.count())}})};
  }
  GatewayRequest operator()(const StoreLeaseKeepAlive& it) const {
    return {"/v3/lease/keepalive",
            json::serialize(json::object{{"ID", Number(it.lease)}})};
  }
  GatewayRequest operator()(const StoreLeaseRevoke& it) const {
    return {"/v3/lease/revoke",
            json::serialize(json::object{{"ID", Number(it.lease)}})};
  }
};

bool ReadTransaction(const std::string& key,
                     const json::object& answer,
                     StoreReply* reply) {
  if (FlagAt(answer, "succeeded")) {
    reply->status = StoreStatus::kOk;
    reply->entry = StoreEntry{key, {}, reply->store_revision};
    return reply->store_revision != 0;
  }
  reply->status = StoreStatus::kConflict;
  const json::value* responses = answer.if_contains("responses");
  if (responses == nullptr || !responses->is_array() ||
      responses->get_array().empty() ||
      !responses->get_array().front().is_object()) {
    return false;
  }
  const json::object& first = responses->get_array().front().get_object();
  const json::object* range = ObjectAt(first, "response_range");
  return range != nullptr && ReadRange(*range, &reply->entry);
}

/// \brief Decodes the response to each type of request.
/// \returns Whether the response is well formed.
struct Decoder {
  const json::object& answer;
  StoreReply* reply;

  bool operator()(const StoreGet& /*it*/) const {
    return reply->store_revision != 0 && ReadRange(answer, &reply->entry);
  }
  bool operator()(const StoreCompareAndSwap& it) const {
    const bool ok = ReadTransaction(it.key, answer, reply);
    if (ok && reply->status == StoreStatus::kOk) {
      reply->entry->value = it.value;
    }
    return ok;
  }
  bool operator()(const StorePut& it) const {
    for (const json::key_value_pair& field : answer) {
      if (field.key() != "header" && field.key() != "prev_kv") {
        return false;
      }
    }
    reply->entry = StoreEntry{it.key, it.value, reply->store_revision};
    return reply->store_revision != 0;
  }
  bool operator()(const StoreList& /*it*/) const {
    return reply->store_revision != 0 && !answer.contains("responses") &&
           ReadEntries(answer, &reply->entries);
  }
  bool operator()(const StoreCompareAndDelete& it) const {
    const bool ok = ReadTransaction(it.key, answer, reply);
    if (ok && reply->status == StoreStatus::kOk) {
      reply->entry.reset();
    }
    return ok;
  }
  bool operator()(const StoreWatch& /*it*/) const { return false; }
  bool operator()(const StoreLeaseGrant& /*it*/) const {
    reply->lease = NumberAt(answer, "ID");
    return reply->lease != 0;
  }
  bool operator()(const StoreLeaseKeepAlive& it) const {
    const json::object* result = ObjectAt(answer, "result");
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
bool IsRefusal(unsigned http_status, const json::object* answer) {
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kClientClosedRequest = 499;
  const bool client_error = http_status >= 400 && http_status < 500;
  if (client_error && http_status != kRequestTimeout &&
      http_status != kClientClosedRequest) {
    return true;
  }
  const json::value* executed =
      answer == nullptr ? nullptr : answer->if_contains("executed");
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

bool NamesLostLease(unsigned http_status, const json::object* answer) {
  constexpr unsigned kNotFound = 404;
  constexpr std::string_view kMessage = "lease not found";
  if (http_status != kNotFound || answer == nullptr) {
    return false;
  }
  const json::value* message = answer->if_contains("message");
  return message != nullptr && message->is_string() &&
         std::string_view(message->get_string()).find(kMessage) !=
             std::string_view::npos;
}

StoreStatus StatusOfFailure(const StoreRequest& request,
                            unsigned http_status,
                            const json::object* answer) {
  if (UsesLease(request) && NamesLostLease(http_status, answer)) {
    return StoreStatus::kLeaseLost;
  }
  if (!IsWrite(request) || IsRefusal(http_status, answer)) {
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
  return std::visit(Encoder{}, request);
}

StoreReply DecodeGatewayReply(const StoreRequest& request,
                              unsigned http_status,
                              std::string_view body) {
  constexpr unsigned kOkStatus = 200;
  boost::system::error_code ec;
  const json::value parsed = json::parse(body, ec);
  const json::object* answer = ec ? nullptr : parsed.if_object();
  StoreReply reply;
  if (http_status != kOkStatus || answer == nullptr) {
    reply.status = StatusOfFailure(request, http_status, answer);
    return reply;
  }
  reply.status = StoreStatus::kOk;
  reply.store_revision = RevisionOf(*answer);
  if (!std::visit(Decoder{*answer, &reply}, request)) {
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
  out.store_revision = RevisionOf(*result);
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
  out.entry = EntryOf(*kv);
  return out.entry ? std::optional(std::move(out)) : std::nullopt;
}

}  // namespace cassiabend
