#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cassiabend/core/call_events.h"

namespace cassiabend {

/// \brief A large request body that an entry node has offered and not sent yet.
struct BodyOffer {
  ConnectionId connection = 0;
  AttemptRequest request;
  /// Latest time at which its sending must begin to be useful.
  MonoTime begin_by{};
  /// When the next sign of progress to the entry node is due.
  MonoTime progress_due{};

  /// \returns Whether it is sent before `other`: the more urgent by priority,
  /// the team's before the route's; of equal ones the one that must begin
  /// first.
  [[nodiscard]] bool IsBefore(const BodyOffer& other) const noexcept;
};

/// \brief Decides which large request bodies come over this host's link.
///
/// Load pattern: uploads for a few upstreams behind narrow links, which all
/// entry nodes begin at once. Together they fill the link for longer than any
/// caller waits, and with it the way of small requests. So an entry node offers
/// a body first; it is let in when the link has room, or refused, before a byte
/// of it is sent, when it could not arrive in time.
class BodyQueue {
 public:
  /// \param bytes_per_second What the link carries of bodies; 0: unknown, and
  /// every body is let in at once.
  void set_rate(std::uint64_t bytes_per_second) noexcept {
    rate_ = bytes_per_second;
  }

  /// \returns Time until the body of `request` would have arrived, behind those
  /// that go before it.
  [[nodiscard]] Nanoseconds ArrivalTime(const AttemptRequest& request,
                                        MonoTime begin_by) const;
  /// \returns Time that the link takes for `bytes`; 0 if unknown.
  [[nodiscard]] Nanoseconds TransferTime(std::uint64_t bytes) const noexcept;
  void Add(BodyOffer offer);
  /// \brief Removes the offer of a connection that was lost.
  void Remove(ConnectionId connection);
  /// \returns The offers whose bodies are to be sent now.
  [[nodiscard]] std::vector<BodyOffer> TakeAdmitted(MonoTime now);
  /// \returns The offers whose bodies can no longer arrive in time.
  [[nodiscard]] std::vector<BodyOffer> TakeLate(MonoTime now);
  /// \returns Connections whose entry nodes need a sign of progress.
  [[nodiscard]] std::vector<ConnectionId> TakeProgressDue(MonoTime now);
  /// \returns All offers, which are removed.
  [[nodiscard]] std::vector<BodyOffer> TakeAll();
  /// \brief The body of an attempt has arrived.
  void OnArrived(const AttemptId& attempt) { coming_.erase(attempt); }
  /// \returns Bytes of bodies that wait or are on their way.
  [[nodiscard]] std::uint64_t bytes() const noexcept;
  [[nodiscard]] std::size_t size() const noexcept {
    return offers_.size() + coming_.size();
  }

 private:
  struct Coming {
    std::uint64_t bytes = 0;
    /// When it counts as lost.
    MonoTime expires_at{};
  };

  [[nodiscard]] std::uint64_t ComingBytes() const noexcept;

  std::uint64_t rate_ = 0;
  /// Sorted by `IsBefore`.
  std::list<BodyOffer> offers_;
  /// Bodies that were let in and have not arrived completely.
  std::unordered_map<AttemptId, Coming, Id128Hasher> coming_;
};

}  // namespace cassiabend
