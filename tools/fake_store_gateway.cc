#include "tools/fake_store_gateway.h"

#include <algorithm>
#include <boost/json/value.hpp>
#include <iterator>
#include <stdexcept>

#include "tools/fake_store_gateway_protocol.h"

namespace cassiabend {
namespace {

namespace json = boost::json;

constexpr unsigned kBadRequest = 400;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;
constexpr std::uint32_t kTenths = 10;

struct RefusalRow {
  std::string_view name;
  FakeStoreRefusal refusal;
};
constexpr RefusalRow kRefusals[] = {
    {"unavailable", FakeStoreRefusal::kUnavailable},
    {"too-many", FakeStoreRefusal::kTooMany},
    {"reset", FakeStoreRefusal::kReset},
    {"silence", FakeStoreRefusal::kSilence},
};

}  // namespace

/// \brief Setters of the faults by their key in POST /control.
struct FakeStoreTable {
  static constexpr FakeStoreGateway::ControlRow kControlRows[] = {
      {"down", &FakeStoreGateway::SetDown},
      {"slow_ms", &FakeStoreGateway::SetSlow},
      {"lose_next_answers", &FakeStoreGateway::SetLoseNext},
      {"drop_next", &FakeStoreGateway::SetDropNext},
      {"reject_next", &FakeStoreGateway::SetRejectNext},
      {"dead_watches", &FakeStoreGateway::SetDeadWatches},
      {"silence_open", &FakeStoreGateway::SilenceOpen},
      {"mute_next_answers", &FakeStoreGateway::SetMuteNext},
      {"late_next", &FakeStoreGateway::SetLateNext},
      {"late_ms", &FakeStoreGateway::SetLate},
      {"pause_leases", &FakeStoreGateway::SetPauseLeases},
      {"refuse_at", &FakeStoreGateway::SetRefuseAt},
      {"write", &FakeStoreGateway::Write},
      {"restart", &FakeStoreGateway::Restart},
      {"expire_lease", &FakeStoreGateway::ExpireLease},
      {"save", &FakeStoreGateway::Save},
      {"restore", &FakeStoreGateway::Restore},
      {"compact", &FakeStoreGateway::Compact},
      {"reset", &FakeStoreGateway::Reset},
  };
};

FakeStoreGateway::FakeStoreGateway(std::uint32_t writes_per_second,
                                   std::uint32_t reads_per_second,
                                   const FakeStoreProtocol* extra_protocol)
    : extra_protocol_(extra_protocol) {
  writes_.limit = writes_per_second;
  reads_.limit = reads_per_second;
}

bool FakeStoreGateway::Budget::Take(std::uint32_t tenths, MonoTime now) {
  if (now - second_began >= Seconds(1)) {
    second_began = now;
    used_tenths = 0;
  }
  if (used_tenths + tenths > limit * kTenths) {
    return false;
  }
  used_tenths += tenths;
  return true;
}

const FakeStoreProtocol* FakeStoreGateway::FindProtocol(
    std::string_view target) const {
  for (const FakeStoreProtocol* it :
       {&FakeGatewayProtocol(), extra_protocol_}) {
    if (it != nullptr && it->Handles(target)) {
      return it;
    }
  }
  return nullptr;
}

std::optional<FakeStoreReply> FakeStoreGateway::Refusal(
    const FakeStoreProtocol& protocol,
    const FakeStoreCall& call,
    MonoTime now) {
  const FakeStoreCost cost = protocol.CostOf(call);
  ++counts_.calls_by_path[call.target.substr(0, call.target.find('?'))];
  ++(cost.write ? counts_.writes : counts_.reads);
  std::optional<FakeStoreReply> refusal;
  if (faults_.down) {
    refusal = MakeErrorReply(kServiceUnavailable, "the store is down");
  } else if (faults_.reject_next > 0) {
    --faults_.reject_next;
    refusal = MakeErrorReply(kTooManyRequests, "too many requests");
  } else if (!(cost.write ? writes_ : reads_).Take(cost.tenths, now)) {
    refusal = MakeErrorReply(kTooManyRequests, "too many requests");
  }
  counts_.refused += refusal ? 1 : 0;
  return refusal;
}

FakeStoreReply FakeStoreGateway::Execute(const FakeStoreProtocol& protocol,
                                         const FakeStoreCall& call,
                                         MonoTime now) {
  ExpireLeases(now);
  try {
    return protocol.Execute(call, &state_, now);
  } catch (const std::exception& ex) {
    return MakeErrorReply(kBadRequest, ex.what());
  }
}

void FakeStoreGateway::ExpireLeases(MonoTime now) {
  if (faults_.pause_leases) {
    state_.ProlongLeases(now - leases_seen_);
  }
  leases_seen_ = now;
  state_.ExpireLeases(now);
}

FakeStoreReply FakeStoreGateway::Control(const json::object& body) {
  for (const auto& [name, value] : body) {
    const ControlRow* row = nullptr;
    for (const ControlRow& it : FakeStoreTable::kControlRows) {
      row = name == it.name ? &it : row;
    }
    if (row == nullptr) {
      return MakeErrorReply(kBadRequest, "no such fault: " + std::string(name));
    }
    try {
      (this->*row->call)(value);
    } catch (const std::exception& ex) {
      return MakeErrorReply(kBadRequest, std::string(name) + ": " + ex.what());
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
void FakeStoreGateway::SetMuteNext(const json::value& value) {
  faults_.mute_next_answers = value.to_number<std::uint64_t>();
}
void FakeStoreGateway::SetLateNext(const json::value& value) {
  faults_.late_next = value.to_number<std::uint64_t>();
}
void FakeStoreGateway::SetLate(const json::value& value) {
  faults_.late = Milliseconds(value.to_number<std::int64_t>());
}
void FakeStoreGateway::SetPauseLeases(const json::value& value) {
  faults_.pause_leases = value.as_bool();
}
void FakeStoreGateway::SetRefuseAt(const json::value& value) {
  std::map<std::string, FakeStoreRefusal> refusals;
  for (const auto& [address, name] : value.as_object()) {
    const auto* it = std::ranges::find(
        kRefusals, std::string_view(name.as_string()), &RefusalRow::name);
    if (it == std::end(kRefusals)) {
      throw std::invalid_argument("no such refusal");
    }
    refusals[std::string(address)] = it->refusal;
  }
  faults_.refusals = std::move(refusals);
}
void FakeStoreGateway::Write(const json::value& value) {
  for (const auto& [key, text] : value.as_object()) {
    state_.Put(key, std::string(text.as_string()), 0);
  }
}
void FakeStoreGateway::Restart(const json::value& value) {
  state_.SkipRevisions(value.to_number<StoreRevision>());
  state_.Compact();
  faults_.close_before = next_connection_;
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
