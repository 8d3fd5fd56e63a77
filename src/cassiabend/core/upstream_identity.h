#pragma once

#include <optional>
#include <string>

#include "cassiabend/core/upstream_report.h"

namespace cassiabend {

/// \brief What a heartbeat says of the upstream that this node knows.
enum class ReportNews : std::uint8_t {
  /// Nothing: it is older than what is known, or of an earlier start.
  kStale,
  /// The known start goes on.
  kSameStart,
  /// Another start has taken its place.
  kNewStart,
};

/// \brief Tells which start of the upstream on this host is the present one. A
/// heartbeat that was held up may arrive after its sender has ended and another
/// start has reported. Starts are told apart by name and time, heartbeats of
/// one start by their sequence. As the upstream's clock may have been set back,
/// an earlier start time is believed once the known start has fallen silent.
class UpstreamIdentity {
 public:
  /// \returns The name of the present start; empty when none is known.
  [[nodiscard]] const std::string& instance() const noexcept {
    return instance_;
  }

  /// \param silence Time without a heartbeat after which the known start may
  /// have ended.
  [[nodiscard]] ReportNews Take(MonoTime now,
                                Milliseconds silence,
                                const UpstreamReport& report);
  /// \brief Takes the name that the upstream gave when it was asked.
  void Learn(MonoTime now, std::string instance);
  /// \brief Forgets the present start: another one answers at its address.
  void Forget() noexcept;

 private:
  [[nodiscard]] bool IsEarlierStart(MonoTime now,
                                    Milliseconds silence,
                                    const UpstreamReport& report) const;

  std::string instance_;
  std::optional<WallTime> started_at_;
  std::optional<std::uint64_t> sequence_;
  std::optional<MonoTime> heard_at_;
};

}  // namespace cassiabend
