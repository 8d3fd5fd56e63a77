#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "cassiabend/base/time.h"
#include "tools/fake_store_state.h"

namespace cassiabend {

/// \brief An answer of the gateway.
struct GatewayAnswer {
  unsigned http_status = 200;
  boost::json::object body;
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

/// \brief The calls of the gateway on a `FakeStoreState`, without I/O.
class FakeStoreGateway {
 public:
  FakeStoreGateway(std::uint32_t writes_per_second,
                   std::uint32_t reads_per_second);

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

  /// \brief Admits one call under the faults and rate limits.
  /// \returns The refusal; unset when the call may be executed.
  [[nodiscard]] std::optional<GatewayAnswer> Refusal(const std::string& path,
                                                     MonoTime now);
  /// \brief Executes one call other than a watch.
  [[nodiscard]] GatewayAnswer Execute(const std::string& path,
                                      const boost::json::object& body,
                                      MonoTime now);
  void ExpireLeases(MonoTime now) { state_.ExpireLeases(now); }

  /// \brief Carries out one request to /control.
  [[nodiscard]] GatewayAnswer Control(const boost::json::object& body);
  [[nodiscard]] boost::json::object Stats() const;

 private:
  /// \brief Calls that may still be made in the current second.
  struct Budget {
    std::uint32_t limit = 0;
    std::uint32_t used = 0;
    MonoTime second_began{};

    [[nodiscard]] bool Take(MonoTime now);
  };
  using Call = GatewayAnswer (FakeStoreGateway::*)(const boost::json::object&,
                                                   MonoTime);
  struct Row {
    const char* path;
    Call call;
  };
  using ControlCall = void (FakeStoreGateway::*)(const boost::json::value&);
  struct ControlRow {
    const char* name;
    ControlCall call;
  };
  friend struct FakeStoreTable;

  GatewayAnswer Range(const boost::json::object& body, MonoTime now);
  GatewayAnswer Transaction(const boost::json::object& body, MonoTime now);
  GatewayAnswer Grant(const boost::json::object& body, MonoTime now);
  GatewayAnswer KeepAlive(const boost::json::object& body, MonoTime now);
  GatewayAnswer Revoke(const boost::json::object& body, MonoTime now);

  [[nodiscard]] boost::json::object Header() const;
  [[nodiscard]] boost::json::array KeyValues(const std::string& key) const;
  GatewayAnswer Succeed(const boost::json::object& operation);

  void SetDown(const boost::json::value& value);
  void SetSlow(const boost::json::value& value);
  void SetLoseNext(const boost::json::value& value);
  void SetDropNext(const boost::json::value& value);
  void SetRejectNext(const boost::json::value& value);
  void SetDeadWatches(const boost::json::value& value);
  void SilenceOpen(const boost::json::value& value);
  void ExpireLease(const boost::json::value& value);
  void Save(const boost::json::value& value);
  void Restore(const boost::json::value& value);
  void Compact(const boost::json::value& value);
  void Reset(const boost::json::value& value);

  FakeStoreState state_;
  std::map<std::string, FakeStoreState> saved_;
  FakeStoreFaults faults_;
  FakeStoreCounts counts_;
  std::uint64_t next_connection_ = 0;
  Budget writes_;
  Budget reads_;
};

/// \returns The JSON form of one stored entry.
[[nodiscard]] boost::json::object ToGatewayJson(const StoreEntry& entry);

}  // namespace cassiabend
