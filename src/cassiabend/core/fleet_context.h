#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "cassiabend/base/random.h"
#include "cassiabend/base/time.h"
#include "cassiabend/core/fleet_events.h"
#include "cassiabend/core/options.h"

namespace cassiabend {

/// \brief Inputs and outputs that the parts of the fleet reducer share while it
/// handles one event.
class FleetContext {
 public:
  FleetContext(const FleetOptions& options,
               const Instant& now,
               Random* random,
               std::uint64_t* store_sequence,
               std::vector<FleetEffect>* out)
      : options_(options),
        now_(now),
        random_(random),
        store_sequence_(store_sequence),
        out_(out) {}

  [[nodiscard]] const FleetOptions& options() const noexcept {
    return options_;
  }
  [[nodiscard]] MonoTime now() const noexcept { return now_.mono; }
  [[nodiscard]] Random& random() const noexcept { return *random_; }

  /// \brief Appends an effect.
  template <typename T>
  void Emit(T effect) const {
    out_->emplace_back(std::move(effect));
  }

  /// \brief Sends a datagram. Its header and piggybacked membership updates are
  /// filled in after the event has been handled.
  template <typename Body>
  void Send(const NodeId& to, Body body) const {
    Datagram datagram;
    datagram.body = std::move(body);
    out_->emplace_back(SendDatagram{to, std::move(datagram)});
  }

  /// \brief Sends a request to the store.
  /// \returns The sequence number that the reply will carry.
  [[nodiscard]] std::uint64_t CallStore(StoreRequest request) const {
    const std::uint64_t sequence = ++*store_sequence_;
    out_->emplace_back(
        StoreCall{{StoreClientRole::kFleet, sequence}, std::move(request)});
    return sequence;
  }

 private:
  const FleetOptions& options_;
  const Instant& now_;
  Random* random_;
  std::uint64_t* store_sequence_;
  std::vector<FleetEffect>* out_;
};

}  // namespace cassiabend
