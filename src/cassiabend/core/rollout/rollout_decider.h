#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/pending_store_call.h"
#include "cassiabend/core/rollout/rollout_table.h"
#include "cassiabend/core/rollout/version_evidence.h"

namespace cassiabend {

/// \brief Decides on the steps of roll-outs, at the nodes that judge them.
///
/// Two readers of the fleet, chosen by rendezvous hash of the service, judge a
/// roll-out: all nodes report to both. The first one decides; the second one
/// does where the first is late. Each step is one compare-and-swap of the state
/// in the store, so that two that decide at once do no harm. A fault stops the
/// roll-out at once, whether or not the store answers.
class RolloutDecider {
 public:
  void Tick(const FleetContext& context,
            const DisseminationTree& tree,
            const Membership& membership,
            RolloutTable* table);
  /// \brief Handles what this node's own calls have shown: keeps it where this
  /// node judges, and reports it to the other nodes that do.
  void OnUsed(const FleetContext& context,
              const DisseminationTree& tree,
              const Membership& membership,
              const RolloutTable& table,
              const std::vector<VersionUse>& uses);
  /// \brief Handles another node's report.
  void OnReport(const FleetContext& context,
                const NodeId& from,
                const RolloutTable& table,
                const std::vector<VersionUse>& uses);
  /// \brief Handles a reply of the store.
  /// \returns Whether the reply belongs to a call of this class.
  bool OnReply(const FleetContext& context,
               const StoreReplied& replied,
               RolloutTable* table);

 private:
  struct Judged {
    StoreRevision order_revision = 0;
    VersionEvidence evidence;
    /// Step that the evidence is gathered for.
    std::uint32_t step = 0;
    /// When the first report arrived.
    std::optional<MonoTime> reported_since;
    /// Revision of the state in the store; unset until it was read.
    std::optional<StoreRevision> status_revision;
    /// Since when a step is due that the first judge has not taken.
    std::optional<MonoTime> due_since;
    PendingStoreCall call;
    /// State that `call` writes; unset for a read.
    std::optional<Rollout> written;
    MonoTime next_call_at{};
    StoreBackoff backoff;
    /// When the store last answered.
    MonoTime answered_at{};
  };

  [[nodiscard]] static std::vector<NodeId> JudgesOf(
      const DisseminationTree& tree,
      const std::string& service);
  Judged& JudgedOf(const Rollout& rollout);
  void Judge(const FleetContext& context,
             const Membership& membership,
             std::size_t place,
             const RolloutTable::Entry& entry,
             RolloutTable* table);
  /// \returns The state that the roll-out should have; unset for the present
  /// one.
  [[nodiscard]] static std::optional<Rollout> NextState(
      const FleetContext& context,
      const Membership& membership,
      const RolloutTable::Entry& entry,
      const Judged& judged);
  [[nodiscard]] static bool HaveAllLeftOld(const FleetContext& context,
                                           const Membership& membership,
                                           const Rollout& rollout,
                                           const Judged& judged);
  static void ReadState(const FleetContext& context,
                        const Rollout& rollout,
                        Judged* judged);
  static void WriteState(const FleetContext& context,
                         Rollout next,
                         Judged* judged);
  void OnStateReply(const FleetContext& context,
                    const StoreReply& reply,
                    const std::string& service,
                    RolloutTable* table);

  /// Roll-outs that were reported here or that this node judges, by service.
  std::map<std::string, Judged> judged_;
};

}  // namespace cassiabend
