#include "tools/fake_store_gateway.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <stdexcept>

#include "cassiabend/store/base64.h"

namespace cassiabend {
namespace {

namespace json = boost::json;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

GatewayAnswer Failure(unsigned status, std::string_view message) {
  return {status,
          {{"error", message}, {"message", message}, {"executed", false}}};
}

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

bool IsWritePath(const std::string& path) {
  return path != "/v3/kv/range" && path != "/v3/watch";
}

}  // namespace

json::object ToGatewayJson(const StoreEntry& entry) {
  return {{"key", EncodeBase64(entry.key)},
          {"value", EncodeBase64(entry.value)},
          {"mod_revision", std::to_string(entry.revision)}};
}

/// \brief Calls and faults by name.
struct FakeStoreTable {
  static constexpr FakeStoreGateway::Row kRows[] = {
      {"/v3/kv/range", &FakeStoreGateway::Range},
      {"/v3/kv/txn", &FakeStoreGateway::Transaction},
      {"/v3/lease/grant", &FakeStoreGateway::Grant},
      {"/v3/lease/keepalive", &FakeStoreGateway::KeepAlive},
      {"/v3/lease/revoke", &FakeStoreGateway::Revoke},
      {"/v3/kv/lease/revoke", &FakeStoreGateway::Revoke},
  };

  static constexpr FakeStoreGateway::ControlRow kControlRows[] = {
      {"down", &FakeStoreGateway::SetDown},
      {"slow_ms", &FakeStoreGateway::SetSlow},
      {"lose_next_answers", &FakeStoreGateway::SetLoseNext},
      {"drop_next", &FakeStoreGateway::SetDropNext},
      {"reject_next", &FakeStoreGateway::SetRejectNext},
      {"dead_watches", &FakeStoreGateway::SetDeadWatches},
      {"silence_open", &FakeStoreGateway::SilenceOpen},
      {"expire_lease", &FakeStoreGateway::ExpireLease},
      {"save", &FakeStoreGateway::Save},
      {"restore", &FakeStoreGateway::Restore},
      {"compact", &FakeStoreGateway::Compact},
      {"reset", &FakeStoreGateway::Reset},
  };
};

FakeStoreGateway::FakeStoreGateway(std::uint32_t writes_per_second,
                                   std::uint32_t reads_per_second) {
  writes_.limit = writes_per_second;
  reads_.limit = reads_per_second;
}

bool FakeStoreGateway::Budget::Take(MonoTime now) {
  if (now - second_began >= Seconds(1)) {
    second_began = now;
    used = 0;
  }
  if (used >= limit) {
    return false;
  }
  ++used;
  return true;
}

std::optional<GatewayAnswer> FakeStoreGateway::Refusal(const std::string& path,
                                                       MonoTime now) {
  const bool write = IsWritePath(path);
  ++counts_.calls_by_path[path];
  ++(write ? counts_.writes : counts_.reads);
  std::optional<GatewayAnswer> refusal;
  if (faults_.down) {
    refusal = Failure(kServiceUnavailable, "the store is down");
  } else if (faults_.reject_next > 0) {
    --faults_.reject_next;
    refusal = Failure(kTooManyRequests, "too many requests");
  } else if (!(write ? writes_ : reads_).Take(now)) {
    refusal = Failure(kTooManyRequests, "too many requests");
  }
  counts_.refused += refusal ? 1 : 0;
  return refusal;
}

GatewayAnswer FakeStoreGateway::Execute(const std::string& path,
                                        const json::object& body,
                                        MonoTime now) {
  state_.ExpireLeases(now);
  for (const Row& it : FakeStoreTable::kRows) {
    if (path != it.path) {
      continue;
    }
    try {
      return (this->*it.call)(body, now);
    } catch (const std::exception& ex) {
      return Failure(kBadRequest, ex.what());
    }
  }
  return Failure(kNotFound, "no such path");
}

json::object FakeStoreGateway::Header() const {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(state_.revision())},
          {"raft_term", "1"}};
}

json::array FakeStoreGateway::KeyValues(const std::string& key) const {
  json::array out;
  if (const std::optional<StoreEntry> entry = state_.Find(key)) {
    out.push_back(ToGatewayJson(*entry));
  }
  return out;
}

GatewayAnswer FakeStoreGateway::Range(const json::object& body,
                                      MonoTime /*now*/) {
  json::array kvs = KeyValues(BytesAt(body, "key"));
  json::object answer = {{"header", Header()}};
  if (!kvs.empty()) {
    answer["count"] = std::to_string(kvs.size());
    answer["kvs"] = std::move(kvs);
  }
  return {200, std::move(answer)};
}

GatewayAnswer FakeStoreGateway::Transaction(const json::object& body,
                                            MonoTime /*now*/) {
  const json::array& compares = body.at("compare").as_array();
  if (compares.size() != 1) {
    return Failure(kBadRequest, "one comparison is supported");
  }
  const json::object& compare = compares.front().as_object();
  const std::string key = BytesAt(compare, "key");
  if (state_.RevisionOf(key) == NumberAt(compare, "mod_revision")) {
    return Succeed(body.at("success").as_array().at(0).as_object());
  }
  const json::object range = {{"header", Header()}, {"kvs", KeyValues(key)}};
  const json::object response = {{"response_range", range}};
  return {200, {{"header", Header()}, {"responses", json::array{response}}}};
}

GatewayAnswer FakeStoreGateway::Succeed(const json::object& operation) {
  if (const json::value* put = operation.if_contains("request_put")) {
    const json::object& request = put->as_object();
    const std::string value = BytesAt(request, "value");
    const LeaseId lease = NumberAt(request, "lease");
    if (value.size() > kStoreValueLimitBytes) {
      return Failure(kBadRequest, "request is too large");
    }
    if (lease != 0 && !state_.HasLease(lease)) {
      return Failure(kNotFound, "requested lease not found");
    }
    state_.Put(BytesAt(request, "key"), value, lease);
  } else {
    const json::value& removal = operation.at("request_delete_range");
    state_.Remove(BytesAt(removal.as_object(), "key"));
  }
  return {200, {{"header", Header()}, {"succeeded", true}}};
}

GatewayAnswer FakeStoreGateway::Grant(const json::object& body, MonoTime now) {
  const std::int64_t ttl = NumberAt(body, "TTL");
  if (ttl <= 0) {
    return Failure(kBadRequest, "TTL must be positive");
  }
  const LeaseId id = state_.GrantLease(Seconds(ttl), now);
  return {200,
          {{"header", Header()},
           {"ID", std::to_string(id)},
           {"TTL", std::to_string(ttl)}}};
}

GatewayAnswer FakeStoreGateway::KeepAlive(const json::object& body,
                                          MonoTime now) {
  const LeaseId id = NumberAt(body, "ID");
  json::object result = {{"header", Header()}, {"ID", std::to_string(id)}};
  if (const std::optional<Seconds> ttl = state_.RenewLease(id, now)) {
    result["TTL"] = std::to_string(ttl->count());
  }
  return {200, {{"result", std::move(result)}}};
}

GatewayAnswer FakeStoreGateway::Revoke(const json::object& body,
                                       MonoTime /*now*/) {
  if (!state_.EndLease(NumberAt(body, "ID"))) {
    return Failure(kNotFound, "requested lease not found");
  }
  return {200, {{"header", Header()}}};
}

GatewayAnswer FakeStoreGateway::Control(const json::object& body) {
  for (const auto& [name, value] : body) {
    const ControlRow* row = nullptr;
    for (const ControlRow& it : FakeStoreTable::kControlRows) {
      row = name == it.name ? &it : row;
    }
    if (row == nullptr) {
      return Failure(kBadRequest, "no such fault: " + std::string(name));
    }
    try {
      (this->*row->call)(value);
    } catch (const std::exception& ex) {
      return Failure(kBadRequest, std::string(name) + ": " + ex.what());
    }
  }
  return {200, {{"ok", true}}};
}

json::object FakeStoreGateway::Stats() const {
  json::object calls;
  for (const auto& [path, n] : counts_.calls_by_path) {
    calls[path] = n;
  }
  return {{"calls", std::move(calls)},
          {"reads", counts_.reads},
          {"writes", counts_.writes},
          {"refused", counts_.refused},
          {"bytes_received", counts_.bytes_received},
          {"bytes_sent", counts_.bytes_sent},
          {"keys", state_.key_count()},
          {"leases", state_.lease_count()},
          {"revision", state_.revision()}};
}

void FakeStoreGateway::SetDown(const json::value& value) {
  faults_.down = value.as_bool();
}
void FakeStoreGateway::SetSlow(const json::value& value) {
  faults_.slow = Milliseconds(value.to_number<std::int64_t>());
}
void FakeStoreGateway::SetLoseNext(const json::value& value) {
  faults_.lose_next_answers = value.to_number<std::uint64_t>();
}
void FakeStoreGateway::SetDropNext(const json::value& value) {
  faults_.drop_next = value.to_number<std::uint64_t>();
}
void FakeStoreGateway::SetRejectNext(const json::value& value) {
  faults_.reject_next = value.to_number<std::uint64_t>();
}
void FakeStoreGateway::SetDeadWatches(const json::value& value) {
  faults_.dead_watches = value.as_bool();
}
void FakeStoreGateway::SilenceOpen(const json::value& value) {
  faults_.silent_before = value.as_bool() ? next_connection_ : 0;
}
void FakeStoreGateway::ExpireLease(const json::value& value) {
  state_.EndLease(value.to_number<LeaseId>());
}
void FakeStoreGateway::Save(const json::value& value) {
  saved_[std::string(value.as_string())] = state_;
}
void FakeStoreGateway::Restore(const json::value& value) {
  state_ = saved_.at(std::string(value.as_string()));
}
void FakeStoreGateway::Compact(const json::value& value) {
  if (value.as_bool()) {
    state_.Compact();
  }
}
void FakeStoreGateway::Reset(const json::value& value) {
  if (value.as_bool()) {
    state_ = {};
    faults_ = {};
  }
}

}  // namespace cassiabend
