#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "cassiabend/base/time.h"
#include "tools/fake_store_state.h"
#include "tools/fake_store_wire.h"

namespace cassiabend {

/// \brief How the stand-in refuses the calls of some clients.
enum class FakeStoreRefusal : std::uint8_t {
  kUnavailable,
  kTooMany,
  kReset,
  kSilence,
};

/// \brief Faults that the stand-in was asked for.
struct FakeStoreFaults {
  bool down = false;
  bool dead_watches = false;
  /// Connections accepted before this one never answer again.
  std::uint64_t silent_before = 0;
  Milliseconds slow{0};
  /// Answers that are lost after the call took effect.
  std::uint64_t lose_next_answers = 0;
  /// Calls whose connection is closed before they are executed.
  std::uint64_t drop_next = 0;
  /// Calls that are refused with HTTP 429.
  std::uint64_t reject_next = 0;
  /// Answers that never come on connections that stay open, after the call
  /// took effect.
  std::uint64_t mute_next_answers = 0;
  /// Calls that are never answered and take effect only after `late`, where
  /// their condition still holds.
  std::uint64_t late_next = 0;
  Milliseconds late{1'000};
  /// Leases stand still.
  bool pause_leases = false;
  /// Connections accepted before this one are closed.
  std::uint64_t close_before = 0;
  /// Refusals of the calls that arrive at one local address of the stand-in.
  std::map<std::string, FakeStoreRefusal> refusals;
};

/// \brief What the stand-in has done, for GET /control/stats.
struct FakeStoreCounts {
  std::map<std::string, std::uint64_t> calls_by_path;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t refused = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t bytes_sent = 0;
};

/// \brief Calls on a `FakeStoreState` under faults and limits, without I/O.
class FakeStoreGateway {
 public:
  /// \param wire A second wire besides the gateway's; null for none.
  FakeStoreGateway(std::uint32_t writes_per_second,
                   std::uint32_t reads_per_second,
                   const FakeStoreWire* wire);

  [[nodiscard]] const FakeStoreState& state() const noexcept { return state_; }
  [[nodiscard]] const FakeStoreCounts& counts() const noexcept {
    return counts_;
  }
  [[nodiscard]] FakeStoreFaults& faults() noexcept { return faults_; }
  [[nodiscard]] FakeStoreCounts& counts() noexcept { return counts_; }
  /// \returns The number of a new connection.
  [[nodiscard]] std::uint64_t NextConnection() noexcept {
    return next_connection_++;
  }

  /// \returns The wire that a call belongs to; null when there is none.
  [[nodiscard]] const FakeStoreWire* WireOf(std::string_view target) const;
  /// \brief Admits one call under the faults and rate limits.
  /// \returns The refusal; unset when the call may be executed.
  [[nodiscard]] std::optional<GatewayAnswer> Refusal(const FakeStoreWire& wire,
                                                     const FakeStoreCall& call,
                                                     MonoTime now);
  /// \brief Executes one call other than a watch.
  [[nodiscard]] GatewayAnswer Execute(const FakeStoreWire& wire,
                                      const FakeStoreCall& call,
                                      MonoTime now);
  /// \brief Lets the leases' time go on to `now`.
  void ExpireLeases(MonoTime now);

  /// \brief Carries out one request to /control.
  [[nodiscard]] GatewayAnswer Control(const boost::json::object& body);
  [[nodiscard]] boost::json::object Stats() const;

 private:
  /// \brief Calls that may still be made in the current second.
  struct Budget {
    std::uint32_t limit = 0;
    std::uint32_t used_tenths = 0;
    MonoTime second_began{};

    [[nodiscard]] bool Take(std::uint32_t tenths, MonoTime now);
  };
  using ControlCall = void (FakeStoreGateway::*)(const boost::json::value&);
  struct ControlRow {
    const char* name;
    ControlCall call;
  };
  friend struct FakeStoreTable;

  void SetDown(const boost::json::value& value);
  void SetSlow(const boost::json::value& value);
  void SetLoseNext(const boost::json::value& value);
  void SetDropNext(const boost::json::value& value);
  void SetRejectNext(const boost::json::value& value);
  void SetDeadWatches(const boost::json::value& value);
  void SilenceOpen(const boost::json::value& value);
  void SetMuteNext(const boost::json::value& value);
  void SetLateNext(const boost::json::value& value);
  void SetLate(const boost::json::value& value);
  void SetPauseLeases(const boost::json::value& value);
  void SetRefuseAt(const boost::json::value& value);
  void Write(const boost::json::value& value);
  void Restart(const boost::json::value& value);
  void ExpireLease(const boost::json::value& value);
  void Save(const boost::json::value& value);
  void Restore(const boost::json::value& value);
  void Compact(const boost::json::value& value);
  void Reset(const boost::json::value& value);

  const FakeStoreWire* wire_;
  FakeStoreState state_;
  MonoTime leases_seen_{};
  std::map<std::string, FakeStoreState> saved_;
  FakeStoreFaults faults_;
  FakeStoreCounts counts_;
  std::uint64_t next_connection_ = 0;
  Budget writes_;
  Budget reads_;
};

}  // namespace cassiabend
