#include "tools/fake_store_backend.h"

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

struct RefusalName {
  std::string_view name;
  FakeStoreRefusal refusal;
};
constexpr RefusalName kRefusals[] = {
    {"unavailable", FakeStoreRefusal::kUnavailable},
    {"too-many", FakeStoreRefusal::kTooMany},
    {"reset", FakeStoreRefusal::kReset},
    {"silence", FakeStoreRefusal::kSilence},
};

}  // namespace

/// \brief Handlers of the keys of POST /control: faults and state changes.
struct FakeStoreControlTable {
  static constexpr FakeStoreBackend::ControlEntry kControls[] = {
      {"down", &FakeStoreBackend::SetDown},
      {"slow_ms", &FakeStoreBackend::SetSlow},
      {"lose_next_answers", &FakeStoreBackend::SetLoseNext},
      {"drop_next", &FakeStoreBackend::SetDropNext},
      {"reject_next", &FakeStoreBackend::SetRejectNext},
      {"dead_watches", &FakeStoreBackend::SetDeadWatches},
      {"silence_open", &FakeStoreBackend::SilenceOpen},
      {"mute_next_answers", &FakeStoreBackend::SetMuteNext},
      {"late_next", &FakeStoreBackend::SetLateNext},
      {"late_ms", &FakeStoreBackend::SetLate},
      {"pause_leases", &FakeStoreBackend::SetPauseLeases},
      {"refuse_at", &FakeStoreBackend::SetRefuseAt},
      {"write", &FakeStoreBackend::Write},
      {"restart", &FakeStoreBackend::Restart},
      {"expire_lease", &FakeStoreBackend::ExpireLease},
      {"save", &FakeStoreBackend::Save},
      {"restore", &FakeStoreBackend::Restore},
      {"compact", &FakeStoreBackend::Compact},
      {"reset", &FakeStoreBackend::Reset},
  };
};

FakeStoreBackend::FakeStoreBackend(std::uint32_t writes_per_second,
                                   std::uint32_t reads_per_second,
                                   const FakeStoreProtocol* extra_protocol)
    : extra_protocol_(extra_protocol) {
  write_limit_.limit = writes_per_second;
  read_limit_.limit = reads_per_second;
}

bool FakeStoreBackend::RateLimit::TryAcquire(std::uint32_t tenths,
                                             MonoTime now) {
  if (now - window_start >= Seconds(1)) {
    window_start = now;
    used_tenths = 0;
  }
  if (used_tenths + tenths > limit * kTenths) {
    return false;
  }
  used_tenths += tenths;
  return true;
}

const FakeStoreProtocol* FakeStoreBackend::FindProtocol(
    std::string_view target) const {
  for (const FakeStoreProtocol* it :
       {&FakeGatewayProtocol(), extra_protocol_}) {
    if (it != nullptr && it->Handles(target)) {
      return it;
    }
  }
  return nullptr;
}

std::optional<FakeStoreReply> FakeStoreBackend::CheckAdmission(
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
  } else if (!(cost.write ? write_limit_ : read_limit_)
                  .TryAcquire(cost.tenths, now)) {
    refusal = MakeErrorReply(kTooManyRequests, "too many requests");
  }
  counts_.refused += refusal ? 1 : 0;
  return refusal;
}

FakeStoreReply FakeStoreBackend::Execute(const FakeStoreProtocol& protocol,
                                         const FakeStoreCall& call,
                                         MonoTime now) {
  ExpireLeases(now);
  try {
    return protocol.Execute(call, &state_, now);
  } catch (const std::exception& ex) {
    return MakeErrorReply(kBadRequest, ex.what());
  }
}

void FakeStoreBackend::ExpireLeases(MonoTime now) {
  if (faults_.pause_leases) {
    state_.ExtendLeases(now - leases_checked_at_);
  }
  leases_checked_at_ = now;
  state_.ExpireLeases(now);
}

FakeStoreReply FakeStoreBackend::Control(const json::object& body) {
  for (const auto& [name, value] : body) {
    const ControlEntry* entry = nullptr;
    for (const ControlEntry& it : FakeStoreControlTable::kControls) {
      entry = name == it.name ? &it : entry;
    }
    if (entry == nullptr) {
      return MakeErrorReply(kBadRequest, "no such fault: " + std::string(name));
    }
    try {
      (this->*entry->call)(value);
    } catch (const std::exception& ex) {
      return MakeErrorReply(kBadRequest, std::string(name) + ": " + ex.what());
    }
  }
  return {200, {{"ok", true}}};
}

json::object FakeStoreBackend::Stats() const {
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

void FakeStoreBackend::SetDown(const json::value& value) {
  faults_.down = value.as_bool();
}
void FakeStoreBackend::SetSlow(const json::value& value) {
  faults_.slow = Milliseconds(value.to_number<std::int64_t>());
}
void FakeStoreBackend::SetLoseNext(const json::value& value) {
  faults_.lose_next_answers = value.to_number<std::uint64_t>();
}
void FakeStoreBackend::SetDropNext(const json::value& value) {
  faults_.drop_next = value.to_number<std::uint64_t>();
}
void FakeStoreBackend::SetRejectNext(const json::value& value) {
  faults_.reject_next = value.to_number<std::uint64_t>();
}
void FakeStoreBackend::SetDeadWatches(const json::value& value) {
  faults_.dead_watches = value.as_bool();
}
void FakeStoreBackend::SilenceOpen(const json::value& value) {
  faults_.silent_before = value.as_bool() ? next_connection_ : 0;
}
void FakeStoreBackend::SetMuteNext(const json::value& value) {
  faults_.mute_next_answers = value.to_number<std::uint64_t>();
}
void FakeStoreBackend::SetLateNext(const json::value& value) {
  faults_.late_next = value.to_number<std::uint64_t>();
}
void FakeStoreBackend::SetLate(const json::value& value) {
  faults_.late = Milliseconds(value.to_number<std::int64_t>());
}
void FakeStoreBackend::SetPauseLeases(const json::value& value) {
  faults_.pause_leases = value.as_bool();
}
void FakeStoreBackend::SetRefuseAt(const json::value& value) {
  std::map<std::string, FakeStoreRefusal> refusals;
  for (const auto& [address, name] : value.as_object()) {
    const auto* it = std::ranges::find(
        kRefusals, std::string_view(name.as_string()), &RefusalName::name);
    if (it == std::end(kRefusals)) {
      throw std::invalid_argument("no such refusal");
    }
    refusals[std::string(address)] = it->refusal;
  }
  faults_.refusals = std::move(refusals);
}
void FakeStoreBackend::Write(const json::value& value) {
  for (const auto& [key, text] : value.as_object()) {
    state_.Put(key, std::string(text.as_string()), 0);
  }
}
void FakeStoreBackend::Restart(const json::value& value) {
  state_.SkipRevisions(value.to_number<StoreRevision>());
  state_.Compact();
  faults_.close_before = next_connection_;
}
void FakeStoreBackend::ExpireLease(const json::value& value) {
  state_.EndLease(value.to_number<LeaseId>());
}
void FakeStoreBackend::Save(const json::value& value) {
  saved_[std::string(value.as_string())] = state_;
}
void FakeStoreBackend::Restore(const json::value& value) {
  state_ = saved_.at(std::string(value.as_string()));
  ++era_;
}
void FakeStoreBackend::Compact(const json::value& value) {
  if (value.as_bool()) {
    state_.Compact();
  }
}
void FakeStoreBackend::Reset(const json::value& value) {
  if (value.as_bool()) {
    state_ = {};
    faults_ = {};
  }
}

}  // namespace cassiabend
