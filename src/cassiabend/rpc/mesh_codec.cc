#include "cassiabend/rpc/mesh_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {
namespace {

constexpr std::uint32_t kNoAge = std::numeric_limits<std::uint32_t>::max();
// A few packed bytes can stand for many zero bytes, so the unpacked size has a
// limit of its own (64 KiB).
constexpr std::uint64_t kMaxDatagramWords = 8'192;
constexpr int kMaxDatagramNesting = 8;

template <typename Enum>
Enum CheckedEnum(std::uint16_t value, Enum last, const char* field) {
  if (value > static_cast<std::uint16_t>(last)) {
    throw RpcError("read a message", field,
                   "unknown value " + std::to_string(value));
  }
  return static_cast<Enum>(value);
}

std::string ToText(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string ToBytes(capnp::Data::Reader data) {
  const auto chars = data.asChars();
  return {chars.begin(), chars.size()};
}

void WriteCounts(const VersionCounts& counts,
                 schema::VersionCounts::Builder out) {
  out.setFailures(counts.failures);
  std::size_t n = counts.times.size();
  while (n > 0 && counts.times.at(n - 1) == 0) {
    --n;
  }
  auto times = out.initTimes(static_cast<unsigned>(n));
  for (std::size_t i = 0; i < n; ++i) {
    times.set(static_cast<unsigned>(i), counts.times.at(i));
  }
}

VersionCounts ReadCounts(schema::VersionCounts::Reader in) {
  VersionCounts out;
  out.failures = in.getFailures();
  std::size_t i = 0;
  for (const std::uint32_t it : in.getTimes()) {
    if (i < out.times.size()) {
      out.times.at(i++) = it;
    }
  }
  return out;
}

void WriteUse(const VersionUse& use, schema::VersionUse::Builder out) {
  out.setService(use.service);
  out.setOrderRevision(use.order_revision);
  out.setStep(use.step);
  out.setUsesOld(use.uses_old);
  auto classes = out.initClasses(static_cast<unsigned>(use.classes.size()));
  unsigned i = 0;
  for (const VersionUse::Class& it : use.classes) {
    auto one = classes[i++];
    one.setRequestClass(it.request_class);
    WriteCounts(it.counts.old_version, one.initOldVersion());
    WriteCounts(it.counts.new_version, one.initNewVersion());
  }
}

VersionUse ReadUse(schema::VersionUse::Reader in) {
  VersionUse out;
  out.service = ToText(in.getService());
  out.order_revision = in.getOrderRevision();
  out.step = in.getStep();
  out.uses_old = in.getUsesOld();
  for (const auto it : in.getClasses()) {
    out.classes.push_back(
        {it.getRequestClass(),
         {ReadCounts(it.getOldVersion()), ReadCounts(it.getNewVersion())}});
  }
  return out;
}

void WriteRollout(const RolloutNews& news, schema::Rollout::Builder out) {
  const Rollout& rollout = news.rollout;
  out.setService(rollout.order.service);
  out.setTargetVersion(rollout.order.target_version);
  out.setDurationMs(ToWireAge(rollout.order.duration));
  out.setOrderRevision(rollout.order_revision);
  out.setStep(rollout.step);
  out.setSharePermille(static_cast<std::uint16_t>(rollout.share_permille));
  out.setPhase(static_cast<schema::RolloutPhase>(rollout.phase));
  out.setOrderAgeMs(ToWireAge(news.order_age));
  out.setVouchedAgeMs(ToWireAge(news.vouched_age));
}

RolloutNews ReadRollout(schema::Rollout::Reader in) {
  RolloutNews out;
  Rollout& rollout = out.rollout;
  rollout.order = {ToText(in.getService()), ToText(in.getTargetVersion()),
                   Milliseconds(in.getDurationMs())};
  rollout.order_revision = in.getOrderRevision();
  rollout.step = in.getStep();
  rollout.share_permille = in.getSharePermille();
  rollout.phase = CheckedEnum(static_cast<std::uint16_t>(in.getPhase()),
                              RolloutPhase::kRolledBack, "rollout.phase");
  out.order_age = Milliseconds(in.getOrderAgeMs());
  out.vouched_age = FromWireAge(in.getVouchedAgeMs());
  return out;
}

/// \brief Writes the body of a datagram.
struct BodyWriter {
  schema::Datagram::Builder datagram;
  schema::Datagram::Body::Builder out;

  void operator()(const PingBody& it) { out.setPing(it.sequence); }
  void operator()(const AckBody& it) { out.setAck(it.sequence); }
  void operator()(const PingRequestBody& it) {
    auto request = out.initPingRequest();
    request.setSequence(it.sequence);
    request.setTargetIp(it.target.ip);
    request.setTargetPort(it.target.peer_port);
  }
  void operator()(const HeartbeatBody& it) {
    out.setBeat();
    datagram.setAttachSequence(it.sequence);
    datagram.setHeldMs(ToWireAge(it.held));
    datagram.setFollowedAgeMs(ToWireAge(it.followed_age));
  }
  void operator()(const JoinBody& /*it*/) { out.setJoin(); }
  void operator()(const AttachBody& it) {
    out.setAttach();
    datagram.setAttachSequence(it.sequence);
  }
  void operator()(const VersionReportBody& it) {
    auto uses = out.initVersionReport(static_cast<unsigned>(it.uses.size()));
    unsigned i = 0;
    for (const VersionUse& use : it.uses) {
      WriteUse(use, uses[i++]);
    }
  }
  void operator()(const UseReport& it) {
    auto report = out.initUses();
    report.setScope(static_cast<schema::UseScope>(it.scope));
    report.setUnknownPpm(it.unknown_ppm);
    auto uses = datagram.initTeamUses(static_cast<unsigned>(it.uses.size()));
    unsigned i = 0;
    for (const TeamUse& use : it.uses) {
      auto next = uses[i++];
      next.setTeam(use.team);
      next.setAdmitted(use.admitted);
      next.setHeld(use.held);
      next.setDemandPer1000s(use.demand_per_1000s);
    }
  }
};

UseReport ReadUseReport(schema::Datagram::Reader datagram) {
  const auto in = datagram.getBody().getUses();
  UseReport report;
  report.scope = CheckedEnum(static_cast<std::uint16_t>(in.getScope()),
                             UseScope::kNone, "uses.scope");
  report.unknown_ppm = in.getUnknownPpm();
  for (const auto it : datagram.getTeamUses()) {
    constexpr std::uint64_t kMost = std::numeric_limits<std::uint32_t>::max();
    report.uses.push_back(
        {it.getTeam(),
         static_cast<std::uint32_t>(std::min(it.getAdmitted(), kMost)),
         it.getHeld(), it.getDemandPer1000s()});
  }
  return report;
}

decltype(Datagram::body) ReadBody(schema::Datagram::Reader datagram) {
  const schema::Datagram::Body::Reader in = datagram.getBody();
  switch (in.which()) {
    case schema::Datagram::Body::PING:
      return PingBody{in.getPing()};
    case schema::Datagram::Body::ACK:
      return AckBody{in.getAck()};
    case schema::Datagram::Body::PING_REQUEST: {
      const auto request = in.getPingRequest();
      return PingRequestBody{
          request.getSequence(),
          {ToText(request.getTargetIp()), request.getTargetPort()}};
    }
    case schema::Datagram::Body::BEAT:
      return HeartbeatBody{datagram.getAttachSequence(),
                           Milliseconds(datagram.getHeldMs()),
                           FromWireAge(datagram.getFollowedAgeMs())};
    case schema::Datagram::Body::JOIN:
      return JoinBody{};
    case schema::Datagram::Body::ATTACH:
      return AttachBody{datagram.getAttachSequence()};
    case schema::Datagram::Body::VERSION_REPORT: {
      VersionReportBody body;
      for (const auto it : in.getVersionReport()) {
        body.uses.push_back(ReadUse(it));
      }
      return body;
    }
    case schema::Datagram::Body::USES:
      return ReadUseReport(datagram);
  }
  throw RpcError("read a datagram", "body", "unknown kind");
}

/// \brief Writes the body of a configuration update.
struct UpdateWriter {
  schema::ConfigUpdate::Builder out;

  void operator()(const NoUpdate& /*it*/) { out.setNone(); }
  void operator()(const DeltaPtr& it) {
    out.setPackedDelta(ToData(it->packed()));
  }
  void operator()(const RefPtr<const Snapshot>& it) {
    out.setPackedFull(ToData(it->packed()));
  }
  void operator()(const BusyUpdate& it) {
    out.setBusy(ToWireAge(it.retry_after));
  }
};

decltype(ConfigUpdate::body) ReadUpdateBody(schema::ConfigUpdate::Reader in) {
  switch (in.which()) {
    case schema::ConfigUpdate::NONE:
      return NoUpdate{};
    case schema::ConfigUpdate::DELTA:
      return ShareDelta(FromWire(in.getDelta()));
    case schema::ConfigUpdate::PACKED_DELTA:
      return SharedDelta::Unpack(ToBytes(in.getPackedDelta()));
    case schema::ConfigUpdate::PACKED_FULL:
      return Snapshot::Unpack(ToBytes(in.getPackedFull()));
    case schema::ConfigUpdate::FULL:
      return RefPtr<const Snapshot>(new Snapshot(FromWire(in.getFull())));
    case schema::ConfigUpdate::BUSY:
      return BusyUpdate{Milliseconds(in.getBusy())};
  }
  throw RpcError("read a configuration update", "body", "unknown kind");
}

std::string Pack(capnp::MessageBuilder& message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray().asChars();
  return {bytes.begin(), bytes.size()};
}

}  // namespace

std::uint32_t ToWireAge(std::optional<Milliseconds> age) noexcept {
  if (!age) {
    return kNoAge;
  }
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age->count(), 0, kNoAge - 1));
}

std::optional<Milliseconds> FromWireAge(std::uint32_t age) noexcept {
  return age == kNoAge ? std::nullopt : std::optional(Milliseconds(age));
}

void ToWire(const VersionMark& mark, schema::VersionMark::Builder out) {
  out.setNumber(mark.number);
  ToWire(mark.hash, out.initHash());
}

VersionMark FromWire(schema::VersionMark::Reader in) {
  return {in.getNumber(), FromWire(in.getHash())};
}

void ToWire(const Member& member, schema::Member::Builder out) {
  out.setIp(member.id.ip);
  out.setPeerPort(member.id.peer_port);
  out.setCallPort(member.call_port);
  out.setRegion(member.region);
  out.setZone(member.zone);
  out.setStartId(member.start_id);
  out.setRevision(member.revision);
  out.setStatus(static_cast<schema::MemberStatus>(member.status));
  out.setService(member.service);
  out.setSlots(member.slots);
  out.setUpstreamState(
      static_cast<schema::UpstreamState>(member.upstream_state));
  out.setIsReader(member.is_reader);
  if (!member.upstream_version.empty()) {
    out.setUpstreamVersion(member.upstream_version);
  }
}

Member FromWire(schema::Member::Reader in) {
  Member out;
  out.id = {ToText(in.getIp()), in.getPeerPort()};
  out.call_port = in.getCallPort();
  out.region = ToText(in.getRegion());
  out.zone = ToText(in.getZone());
  out.start_id = in.getStartId();
  out.revision = in.getRevision();
  out.status = CheckedEnum(static_cast<std::uint16_t>(in.getStatus()),
                           MemberStatus::kLeft, "member.status");
  out.service = ToText(in.getService());
  out.slots = in.getSlots();
  out.upstream_state =
      CheckedEnum(static_cast<std::uint16_t>(in.getUpstreamState()),
                  UpstreamState::kDraining, "member.upstreamState");
  out.is_reader = in.getIsReader();
  out.upstream_version = ToText(in.getUpstreamVersion());
  return out;
}

void ToWire(const Datagram& datagram, schema::Datagram::Builder out) {
  out.setFromIp(datagram.from.ip);
  out.setFromPort(datagram.from.peer_port);
  out.setFromStartId(datagram.from_start_id);
  ToWire(datagram.mark, out.initMark());
  out.setConfirmedAgeMs(ToWireAge(datagram.confirmed_age));
  out.setLoadPermille(datagram.load_permille);
  auto updates =
      out.initUpdates(static_cast<unsigned>(datagram.updates.size()));
  unsigned i = 0;
  for (const Member& it : datagram.updates) {
    ToWire(it, updates[i++]);
  }
  std::visit(BodyWriter{out, out.initBody()}, datagram.body);
  out.setMembersDigest(datagram.members_digest);
  auto zones = out.initUnreachableZones(
      static_cast<unsigned>(datagram.unreachable_zones.size()));
  i = 0;
  for (const std::string& it : datagram.unreachable_zones) {
    zones.set(i++, it);
  }
  if (!datagram.rollouts.empty()) {
    auto rollouts =
        out.initRollouts(static_cast<unsigned>(datagram.rollouts.size()));
    i = 0;
    for (const RolloutNews& it : datagram.rollouts) {
      WriteRollout(it, rollouts[i++]);
    }
  }
  out.setTimePercent(datagram.time_percent);
  out.setStoreEra(datagram.store_era);
}

Datagram FromWire(schema::Datagram::Reader in) {
  Datagram out;
  out.from = {ToText(in.getFromIp()), in.getFromPort()};
  out.from_start_id = in.getFromStartId();
  out.mark = FromWire(in.getMark());
  out.confirmed_age = FromWireAge(in.getConfirmedAgeMs());
  out.load_permille = in.getLoadPermille();
  for (const auto it : in.getUpdates()) {
    out.updates.push_back(FromWire(it));
  }
  out.body = ReadBody(in);
  out.members_digest = in.getMembersDigest();
  for (const auto it : in.getUnreachableZones()) {
    out.unreachable_zones.push_back(ToText(it));
  }
  out.time_percent = in.getTimePercent();
  out.store_era = in.getStoreEra();
  for (const auto it : in.getRollouts()) {
    out.rollouts.push_back(ReadRollout(it));
  }
  return out;
}

void ToWire(const ConfigUpdate& update, schema::ConfigUpdate::Builder out) {
  ToWire(update.mark, out.initMark());
  out.setConfirmedAgeMs(ToWireAge(update.confirmed_age));
  std::visit(UpdateWriter{out}, update.body);
}

ConfigUpdate FromWire(schema::ConfigUpdate::Reader in) {
  ConfigUpdate out;
  out.mark = FromWire(in.getMark());
  out.confirmed_age = FromWireAge(in.getConfirmedAgeMs());
  out.body = ReadUpdateBody(in);
  return out;
}

std::string EncodeDatagram(const Datagram& datagram) {
  Datagram trimmed = datagram;
  while (true) {
    capnp::MallocMessageBuilder message;
    ToWire(trimmed, message.initRoot<schema::Datagram>());
    std::string bytes = Pack(message);
    if (bytes.size() <= kMaxDatagramBytes || trimmed.updates.empty()) {
      return bytes;
    }
    const std::size_t n = trimmed.updates.size();
    const std::size_t fitting = n * kMaxDatagramBytes / bytes.size();
    trimmed.updates.resize(std::min(n - 1, fitting));
  }
}

Datagram DecodeDatagram(std::string_view bytes) {
  try {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxDatagramWords;
    options.nestingLimit = kMaxDatagramNesting;
    capnp::PackedMessageReader message(in, options);
    return FromWire(message.getRoot<schema::Datagram>());
  } catch (const kj::Exception& ex) {
    throw RpcError("read a datagram", "message", ex.getDescription().cStr());
  }
}

}  // namespace cassiabend
