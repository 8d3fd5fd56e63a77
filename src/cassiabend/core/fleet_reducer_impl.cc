#include "cassiabend/core/fleet_reducer_impl.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cassiabend {
namespace {

/// Age of the confirmation of the head at which the first, the second and any
/// other root in line verifies it, in hundredths of `follow_limit`. The
/// platform expects changes in force after twice that limit.
constexpr std::array<int, 3> kVerifyPercent = {180, 200, 220};

}  // namespace

FleetReducer::Impl::Impl(const FleetOptions& options,
                         const Member& self,
                         std::uint64_t seed)
    : options_(options),
      random_(seed),
      membership_(self),
      prober_(self.start_id),
      dissemination_(self.start_id),
      lease_(self) {}

void FleetReducer::Impl::Reduce(const Instant& now,
                                const FleetEvent& event,
                                std::vector<FleetEffect>* out) {
  const std::size_t begin = out->size();
  const FleetContext context(options_, now, &random_, &store_sequence_, out);
  const VersionMark mark_before = versions_.mark();
  const std::uint64_t rollouts_before = rollouts_.changes();
  committed_here_ = false;
  std::visit([&](const auto& it) { On(context, it); }, event);
  if (rollouts_.changes() != rollouts_before) {
    dissemination_.HastenHeartbeats();
  }
  FinishEvent(context, mark_before);
  for (std::size_t i = begin; i < out->size(); ++i) {
    if (auto* send = std::get_if<SendDatagram>(&(*out)[i])) {
      FillDatagram(context, send);
    }
  }
}

void FleetReducer::Impl::FinishEvent(const FleetContext& context,
                                     const VersionMark& mark_before) {
  if (versions_.mark() != mark_before) {
    dissemination_.PushNewest(context, tree_, membership_, versions_,
                              freshness_, committed_here_);
  }
  if (membership_.self().is_reader != lease_.is_held()) {
    Member self = membership_.self();
    self.is_reader = lease_.is_held();
    membership_.UpdateOwnRecord(context, std::move(self));
  }
  readiness_.Update(context,
                    {membership_, versions_, freshness_, watch_.head_state(),
                     join_.joined(), store_reachable_});
}

void FleetReducer::Impl::FillDatagram(const FleetContext& context,
                                      SendDatagram* send) {
  Datagram& datagram = send->datagram;
  const Member& self = membership_.self();
  datagram.from = self.id;
  datagram.from_start_id = self.start_id;
  datagram.mark = versions_.mark();
  datagram.confirmed_age = freshness_.AgeAt(context.now());
  datagram.load_permille = load_permille_;
  datagram.time_percent = time_percent_;
  datagram.members_digest = membership_.live_digest();
  datagram.store_era = store_era_;
  const MemberEntry* receiver = membership_.Find(send->to);
  const auto* ack = std::get_if<AckBody>(&datagram.body);
  const bool introduces_self =
      std::holds_alternative<JoinBody>(datagram.body) ||
      (ack != nullptr && ack->sequence == 0) || receiver == nullptr ||
      !receiver->heard_at;
  auto* heartbeat = std::get_if<HeartbeatBody>(&datagram.body);
  const bool is_heartbeat = heartbeat != nullptr;
  const bool is_version_report =
      std::holds_alternative<VersionReportBody>(datagram.body);
  const bool is_report =
      is_version_report || std::holds_alternative<UseReport>(datagram.body);
  if ((!is_heartbeat && !is_report) || introduces_self) {
    datagram.updates = membership_.PiggybackUpdates(send->to, introduces_self);
  }
  if (is_heartbeat) {
    heartbeat->followed_age = following_.AgeAt(context.now());
    if (datagram.updates.empty()) {
      datagram.updates = membership_.RecentUpdates(context);
    }
    const auto& zones = membership_.unreachable_zones();
    datagram.unreachable_zones.assign(zones.begin(), zones.end());
  }
  if (is_heartbeat || is_version_report) {
    datagram.rollouts = rollouts_.News(context.now());
  }
}

void FleetReducer::Impl::On(const FleetContext& context, const FleetTick&) {
  tree_.Refresh(options_, membership_);
  membership_.Tick(context);
  prober_.Tick(context, tree_, &membership_);
  lease_.Tick(context, tree_);
  watch_.Tick(context, DecideHeadDuty(context));
  seeds_.Tick(context, membership_, lease_.is_held());
  directory_.Tick(context, membership_, join_.joined());
  // A watch may break without an error, so with `member_lease` a node that
  // reads the head also attaches to a parent, preferably another reader, as a
  // second source of versions.
  const bool needs_no_parent =
      options_.member_lease == Seconds(0) && watch_.HasRecentRead(context);
  dissemination_.Tick(context, tree_, membership_, needs_no_parent);
  puller_.Tick(context, versions_);
  join_.Tick(context, tree_, membership_);
  reconnector_.Tick(context, tree_, membership_);
  survey_.Tick(context, membership_, versions_.mark());
  rollout_orders_.Tick(context, watch_.whole_reads());
  rollout_decider_.Tick(context, tree_, membership_, &rollouts_);
  UpdateUseLinks(context);
}

void FleetReducer::Impl::UpdateUseLinks(const FleetContext& context) {
  if (use_links_view_ == membership_.view_version()) {
    return;
  }
  use_links_view_ = membership_.view_version();
  const NodeId& self = membership_.self().id;
  const std::vector<NodeId>& roots = tree_.roots();
  UseLinks links;
  links.nodes = static_cast<std::uint32_t>(
      1 + std::ranges::count_if(membership_.entries(), [](const auto& it) {
        return IsLive(it.second.member.status);
      }));
  if (!tree_.is_root()) {
    links.parent = tree_.parent();
    const auto other = std::ranges::find_if(
        roots, [&](const NodeId& id) { return id != links.parent; });
    if (other != roots.end()) {
      links.backup = *other;
    }
  } else if (roots.front() != self) {
    links.parent = roots.front();
    if (roots[1] != self) {
      links.backup = roots[1];
    }
  }
  if (tree_.is_root() && !links.backup) {
    for (const auto& [zone, zone_roots] : tree_.all_roots()) {
      if (zone != membership_.self().zone && !zone_roots.empty()) {
        links.zones[zone] = zone_roots.front();
      }
    }
  }
  if (links != use_links_) {
    use_links_ = links;
    context.Emit(UseLinksChanged{std::move(links)});
  }
}

bool FleetReducer::Impl::HasOtherReaders() const {
  const NodeId& self = membership_.self().id;
  return std::ranges::any_of(tree_.all_roots(), [&](const auto& it) {
    const bool has_other = std::ranges::any_of(
        it.second, [&self](const NodeId& id) { return id != self; });
    return has_other && !membership_.unreachable_zones().contains(it.first);
  });
}

HeadDuty FleetReducer::Impl::DecideHeadDuty(const FleetContext& context) {
  if (options_.member_lease == Seconds(0)) {
    return {.reads = lease_.ShouldRead(context, tree_)};
  }
  const std::optional<MonoTime> last_read_at = watch_.last_read_at();
  reads_head_ = IsLive(membership_.self().status) &&
                following_.Update(context, tree_, watch_.is_reading(),
                                  last_read_at, HasOtherReaders());
  HeadDuty duty{.reads = reads_head_};
  // The confirmations of the first root in line reach the others, which then
  // need no reads of their own.
  const std::size_t place =
      std::min(tree_.head_place().value_or(kVerifyPercent.size()),
               kVerifyPercent.size() - 1);
  const Nanoseconds longest_age =
      options_.follow_limit * kVerifyPercent[place] / 100;
  duty.verify_at =
      std::max(last_read_at, freshness_.confirmed_at()).value_or(MonoTime{}) +
      longest_age;
  if (versions_.newest()) {
    duty.read_timeout = options_.follow_limit;
  }
  if (tree_.is_root()) {
    duty.silence_pause = options_.follow_limit / 2;
    const auto alone_at = following_.VerifyAloneAt(context, last_read_at);
    duty.verify_at =
        std::min(*duty.verify_at, alone_at.value_or(MonoTime::max()));
  }
  return duty;
}

bool FleetReducer::Impl::IsFromOlderProcess(const Datagram& datagram) const {
  const MemberEntry* entry = membership_.Find(datagram.from);
  return entry != nullptr && datagram.from_start_id < entry->member.start_id;
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const DatagramReceived& event) {
  const Datagram& datagram = event.datagram;
  if (datagram.from.empty() || datagram.from == membership_.self().id) {
    return;
  }
  membership_.Merge(context, datagram.updates);
  UpdateSender(context, datagram);
  if (IsFromOlderProcess(datagram)) {
    return;
  }
  ObserveStoreEra(context, datagram.store_era);
  rollouts_.Merge(context, datagram.rollouts);
  std::visit([&](const auto& it) { OnBody(context, datagram, it); },
             datagram.body);
  PullIfNewer(context, datagram.from, datagram.mark);
  if (datagram.members_digest != 0) {
    member_sync_.OnDigest(context, datagram.from,
                          datagram.members_digest == membership_.live_digest());
  }
}

void FleetReducer::Impl::UpdateSender(const FleetContext& context,
                                      const Datagram& datagram) {
  const MemberEntry* entry = membership_.Find(datagram.from);
  if (entry != nullptr && entry->member.start_id == datagram.from_start_id) {
    membership_.OnDatagramHeader(context, datagram);
    prober_.OnDatagramFromZone(context, entry->member.zone);
    return;
  }
  // The sender is unknown, or its start differs from the one known here. A join
  // datagram makes both sides exchange their records.
  if (!std::holds_alternative<JoinBody>(datagram.body) &&
      member_server_.AllowIntroductionRequest(context)) {
    context.Send(datagram.from, JoinBody{});
  }
}

void FleetReducer::Impl::PullIfNewer(const FleetContext& context,
                                     const NodeId& peer,
                                     const VersionMark& mark) {
  if (IsLive(membership_.self().status)) {
    puller_.OnPeerMark(context, versions_, peer, mark);
  }
}

void FleetReducer::Impl::OnBody(const FleetContext& context,
                                const Datagram& datagram,
                                const PingBody& body) {
  prober_.OnPing(context, datagram.from, body);
}

void FleetReducer::Impl::OnBody(const FleetContext& context,
                                const Datagram& datagram,
                                const AckBody& body) {
  const std::optional<MonoTime> sent_at = prober_.OnAck(context, body);
  if (sent_at && versions_.Covers(datagram.mark)) {
    freshness_.ConfirmByPeer(context, *sent_at, Milliseconds(0),
                             datagram.confirmed_age);
  }
}

void FleetReducer::Impl::OnBody(const FleetContext& context,
                                const Datagram& datagram,
                                const PingRequestBody& body) {
  prober_.OnPingRequest(context, datagram.from, body);
}

void FleetReducer::Impl::OnBody(const FleetContext& context,
                                const Datagram& datagram,
                                const HeartbeatBody& body) {
  const std::optional<MonoTime> sent_at =
      dissemination_.OnHeartbeat(context, datagram.from, body);
  if (dissemination_.parent() == datagram.from) {
    following_.OnHeartbeat(context, body, tree_.IsRoot(datagram.from));
  }
  if (sent_at && versions_.Covers(datagram.mark)) {
    freshness_.ConfirmByPeer(context, *sent_at, body.held,
                             datagram.confirmed_age);
  }
  if (dissemination_.parent() == datagram.from && !tree_.is_root()) {
    membership_.SetUnreachableZones(
        context,
        {datagram.unreachable_zones.begin(), datagram.unreachable_zones.end()});
  }
}

void FleetReducer::Impl::OnBody(const FleetContext& context,
                                const Datagram& datagram,
                                const JoinBody&) {
  context.Send(datagram.from, AckBody{0});
}

void FleetReducer::Impl::OnBody(const FleetContext& context,
                                const Datagram& datagram,
                                const AttachBody& body) {
  const MemberEntry* entry = membership_.Find(datagram.from);
  if (entry != nullptr && !IsLive(entry->member.status)) {
    return;
  }
  dissemination_.OnAttach(context, datagram.from, datagram.mark, body);
}

void FleetReducer::Impl::OnBody(const FleetContext& context,
                                const Datagram& datagram,
                                const VersionReportBody& body) {
  if (body.uses.empty()) {
    return;
  }
  rollout_decider_.OnReport(context, datagram.from, rollouts_, body.uses);
  // Tells the sender the state of its roll-outs.
  context.Send(datagram.from, VersionReportBody{});
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const PushReceived& event) {
  const ConfigUpdate& update = event.update;
  OfferResult result = OfferResult::kSame;
  if (!IsLive(membership_.self().status)) {
    result = OfferResult::kOlder;
  } else if (const auto* delta = std::get_if<DeltaPtr>(&update.body)) {
    result = versions_.OfferDelta(context, update.mark, *delta);
  } else if (const auto* full =
                 std::get_if<RefPtr<const Snapshot>>(&update.body)) {
    result = versions_.OfferFull(context, update.mark, *full);
  }
  if (result == OfferResult::kNoBase) {
    // A push does not name its sender, so the version is pulled from the
    // parent, which has it soon.
    if (dissemination_.parent()) {
      PullIfNewer(context, *dissemination_.parent(), update.mark);
    }
  }
  context.Emit(ReplyPush{event.request, versions_.mark()});
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const PullReceived& event) {
  context.Emit(ReplyPull{
      event.request,
      pull_server_.Answer(context, versions_, freshness_, event.have)});
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const MembersRequested& event) {
  context.Emit(ReplyMembers{
      event.request, member_server_.Answer(context, membership_, tree_)});
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const PushReplied& event) {
  if (!event.mark) {
    return;
  }
  dissemination_.OnChildMark(event.peer, *event.mark);
  PullIfNewer(context, event.peer, *event.mark);
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const PullReplied& event) {
  puller_.OnAnswer(context, event, &versions_, &freshness_);
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const MembersReplied& event) {
  join_.OnMembers(context, event, &membership_);
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const LocalUpstreamChanged& event) {
  Member self = membership_.self();
  const bool should_announce =
      self.upstream_state != event.state ||
      (!event.service.empty() && self.service != event.service) ||
      self.upstream_version != event.version;
  self.upstream_state = event.state;
  self.upstream_version = event.version;
  if (!event.service.empty()) {
    self.service = event.service;
  }
  self.slots = event.slots;
  membership_.UpdateOwnRecord(context, std::move(self));
  if (should_announce) {
    prober_.Announce(context, tree_, membership_);
  }
}

void FleetReducer::Impl::On(const FleetContext&,
                            const LocalLoadChanged& event) {
  load_permille_ = event.load_permille;
  time_percent_ = event.time_percent;
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const VersionsUsed& event) {
  rollout_decider_.OnUsed(context, tree_, membership_, rollouts_, event.uses);
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const LeaveRequested&) {
  if (!IsLive(membership_.self().status)) {
    return;
  }
  lease_.Release(context);
  directory_.Release(context);
  Member self = membership_.self();
  self.status = MemberStatus::kLeft;
  self.upstream_state = UpstreamState::kDraining;
  self.is_reader = false;
  membership_.UpdateOwnRecord(context, std::move(self));
  prober_.Announce(context, tree_, membership_);
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const SendUseReport& event) {
  context.Send(event.to, event.report);
}

void FleetReducer::Impl::OnBody(const FleetContext& context,
                                const Datagram& datagram,
                                const UseReport& body) {
  const MemberEntry* sender = membership_.Find(datagram.from);
  if (sender != nullptr) {
    context.Emit(UseReportReceived{datagram.from, sender->member.zone, body});
  }
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const VersionCommitted& event) {
  if (!event.snapshot) {
    return;
  }
  const VersionMark mark = event.snapshot->mark();
  const OfferResult result = versions_.OfferFull(context, mark, event.snapshot);
  committed_here_ = result == OfferResult::kApplied;
  versions_.KeepDelta(ShareDelta(event.delta));
  if (versions_.Covers(mark)) {
    freshness_.Confirm(context, event.confirmed_at);
  }
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const StoreReplied& event) {
  if (event.id.role != StoreClientRole::kFleet) {
    return;
  }
  ObserveStoreEra(context, event.reply.era);
  if (event.reply.era != 0 && event.reply.era < store_era_) {
    // The store has been restored since it replied, so what the reply tells
    // may be undone.
    OnStoreReply(context, {event.id,
                           {.status = StoreStatus::kUnknown,
                            .sent_at = event.reply.sent_at}});
    return;
  }
  OnStoreReply(context, event);
}

void FleetReducer::Impl::ObserveStoreEra(const FleetContext& context,
                                         StoreEra era) {
  const bool is_first = store_era_ == 0;
  if (era <= store_era_) {
    return;
  }
  store_era_ = era;
  if (is_first) {
    return;
  }
  context.Emit(StoreRestored{era});
  lease_.OnStoreRestored(context);
  watch_.OnStoreRestored(context);
  seeds_.OnStoreRestored(context);
  directory_.OnStoreRestored(context, membership_.entries().size());
}

void FleetReducer::Impl::OnStoreReply(const FleetContext& context,
                                      const StoreReplied& event) {
  store_reachable_ = event.reply.status != StoreStatus::kUnavailable &&
                     event.reply.status != StoreStatus::kUnknown;
  if (lease_.OnReply(context, event)) {
    const NodeId holder = lease_.TakeObservedHolder();
    if (!holder.empty()) {
      join_.ContactUnknown(context, {holder}, membership_);
    }
    return;
  }
  const std::optional<MonoTime> confirmed_at = freshness_.confirmed_at();
  if (watch_.OnReply(context, event, &versions_, &freshness_)) {
    rollout_orders_.OnWatched(context, event.reply, &rollouts_);
    if (freshness_.confirmed_at() != confirmed_at) {
      dissemination_.HastenHeartbeats();
    }
    return;
  }
  if (join_.OnReply(context, event, membership_)) {
    return;
  }
  if (directory_.OnReply(context, event)) {
    join_.OnPeersListed(context, directory_.TakeListedPeers(), membership_);
    return;
  }
  if (rollout_orders_.OnReply(context, event, &rollouts_) ||
      rollout_decider_.OnReply(context, event, &rollouts_)) {
    return;
  }
  if (seeds_.OnReply(context, event, tree_, membership_)) {
    join_.ContactUnknown(context, seeds_.TakeSeenPeers(), membership_);
  }
}

void FleetReducer::Impl::On(const FleetContext& context,
                            const VersionSurveyRequested&) {
  survey_.Start(context);
}

FleetCounts FleetReducer::Impl::counts() const noexcept {
  FleetCounts counts;
  for (const auto& [id, entry] : membership_.entries()) {
    switch (entry.member.status) {
      case MemberStatus::kAlive:
        ++counts.members_alive;
        break;
      case MemberStatus::kSuspect:
        ++counts.members_suspect;
        break;
      case MemberStatus::kDead:
      case MemberStatus::kLeft:
        ++counts.members_gone;
        break;
    }
  }
  counts.unreachable_zones = membership_.unreachable_zones().size();
  counts.children = dissemination_.child_count();
  counts.head_state = watch_.head_state();
  counts.forks = versions_.refusals().forks;
  counts.damaged = versions_.refusals().damaged;
  return counts;
}

std::vector<MemberView> FleetReducer::Impl::Members(const Instant& now) const {
  std::vector<MemberView> views;
  MemberView own{membership_.self(), versions_.mark(),
                 freshness_.AgeAt(now.mono), Milliseconds(0)};
  views.push_back(std::move(own));
  for (const auto& [id, entry] : membership_.entries()) {
    MemberView view{membership_.VisibleRecord(entry), entry.mark,
                    entry.confirmed_age, std::nullopt};
    if (entry.heard_at) {
      view.mark_age =
          std::chrono::ceil<Milliseconds>(now.mono - *entry.heard_at);
    }
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace cassiabend
