#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "cassiabend/base/time.h"
#include "tools/fake_store_protocol.h"
#include "tools/fake_store_state.h"

namespace cassiabend {

/// \brief How the fake store refuses a call.
enum class FakeStoreRefusal : std::uint8_t {
  /// HTTP 503.
  kUnavailable,
  /// HTTP 429.
  kTooMany,
  /// Resets the connection.
  kReset,
  /// Never replies.
  kSilence,
};

/// \brief Faults that POST /control has switched on.
struct FakeStoreFaults {
  /// Every call is refused with HTTP 503.
  bool down = false;
  /// New watches get no reply, and open ones report no events.
  bool dead_watches = false;
  /// Connections with a lower number never reply.
  std::uint64_t silent_before = 0;
  /// Delay before each call is executed.
  Milliseconds slow{0};
  /// Calls whose connection is closed after they took effect, without a
  /// reply.
  std::uint64_t lose_next_answers = 0;
  /// Calls whose connection is closed before they take effect.
  std::uint64_t drop_next = 0;
  /// Calls that are refused with HTTP 429.
  std::uint64_t reject_next = 0;
  /// Calls that take effect but get no reply, on a connection that stays
  /// open.
  std::uint64_t mute_next_answers = 0;
  /// Calls that get no reply and are executed only after `late`; their
  /// conditions are evaluated then.
  std::uint64_t late_next = 0;
  Milliseconds late{1'000};
  /// Leases do not expire meanwhile.
  bool pause_leases = false;
  /// Connections with a lower number are closed, except those that called
  /// /control.
  std::uint64_t close_before = 0;
  /// Refusals by the local address that the client connected to.
  std::map<std::string, FakeStoreRefusal> refusals;
};

/// \brief Counters for GET /control/stats.
struct FakeStoreCounts {
  std::map<std::string, std::uint64_t> calls_by_path;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t refused = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t bytes_sent = 0;
};

/// \brief State, faults and rate limits of the fake store, without I/O.
class FakeStoreBackend {
 public:
  /// \param extra_protocol Second protocol besides that of the etcd gateway;
  /// null for none.
  FakeStoreBackend(std::uint32_t writes_per_second,
                   std::uint32_t reads_per_second,
                   const FakeStoreProtocol* extra_protocol);

  [[nodiscard]] const FakeStoreState& state() const noexcept { return state_; }
  /// \returns How often the store was restored from a copy.
  [[nodiscard]] std::uint64_t era() const noexcept { return era_; }
  [[nodiscard]] const FakeStoreCounts& counts() const noexcept {
    return counts_;
  }
  [[nodiscard]] FakeStoreFaults& faults() noexcept { return faults_; }
  [[nodiscard]] FakeStoreCounts& counts() noexcept { return counts_; }
  /// \returns The number of a new connection, counted up from 0.
  [[nodiscard]] std::uint64_t NextConnection() noexcept {
    return next_connection_++;
  }

  /// \returns The protocol that handles `target`; null when none does.
  [[nodiscard]] const FakeStoreProtocol* FindProtocol(
      std::string_view target) const;
  /// \brief Counts a call and applies the faults and rate limits to it.
  /// \returns The refusal to reply with; unset when the call is admitted.
  [[nodiscard]] std::optional<FakeStoreReply> CheckAdmission(
      const FakeStoreProtocol& protocol,
      const FakeStoreCall& call,
      MonoTime now);
  /// \brief Executes an admitted call other than a watch.
  [[nodiscard]] FakeStoreReply Execute(const FakeStoreProtocol& protocol,
                                       const FakeStoreCall& call,
                                       MonoTime now);
  /// \brief Removes the leases that have expired by `now`, and their keys.
  void ExpireLeases(MonoTime now);

  /// \brief Applies the body of a POST /control, key by key. Keys before an
  /// invalid one stay applied.
  [[nodiscard]] FakeStoreReply Control(const boost::json::object& body);
  [[nodiscard]] boost::json::object Stats() const;

 private:
  /// \brief Limit of calls per second, in windows of one second.
  struct RateLimit {
    std::uint32_t limit = 0;
    std::uint32_t used_tenths = 0;
    MonoTime window_start{};

    [[nodiscard]] bool TryAcquire(std::uint32_t tenths, MonoTime now);
  };
  using ControlSetter = void (FakeStoreBackend::*)(const boost::json::value&);
  struct ControlEntry {
    const char* name;
    ControlSetter call;
  };
  friend struct FakeStoreControlTable;

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

  const FakeStoreProtocol* extra_protocol_;
  FakeStoreState state_;
  MonoTime leases_checked_at_{};
  std::map<std::string, FakeStoreState> saved_;
  std::uint64_t era_ = 0;
  FakeStoreFaults faults_;
  FakeStoreCounts counts_;
  std::uint64_t next_connection_ = 0;
  RateLimit write_limit_;
  RateLimit read_limit_;
};

}  // namespace cassiabend
