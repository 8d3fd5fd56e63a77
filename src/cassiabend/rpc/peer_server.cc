#include "cassiabend/rpc/peer_server.h"

#include <kj/debug.h>

#include <utility>

#include "cassiabend/rpc/mesh_codec.h"

namespace cassiabend {

kj::Promise<void> PeerServer::push(PushContext context) {
  context.allowCancellation();
  PushReceived event{NextRequestId(),
                     FromWire(context.getParams().getUpdate())};
  return PostAndWait(event.request, event)
      .then([context](kj::Own<PeerReply>&& it) mutable {
        ToWire(std::get<VersionMark>(*it), context.getResults().initMark());
      });
}

kj::Promise<void> PeerServer::pull(PullContext context) {
  context.allowCancellation();
  const PullReceived event{NextRequestId(),
                           FromWire(context.getParams().getHave())};
  return PostAndWait(event.request, event)
      .then([context](kj::Own<PeerReply>&& it) mutable {
        ToWire(std::get<ConfigUpdate>(*it), context.getResults().initUpdate());
      });
}

kj::Promise<void> PeerServer::members(MembersContext context) {
  context.allowCancellation();
  const MembersRequested event{NextRequestId()};
  return PostAndWait(event.request, event)
      .then([context, sent = members_sent_](kj::Own<PeerReply>&& it) mutable {
        const auto& members = std::get<std::vector<Member>>(*it);
        auto results = context.getResults();
        auto out = results.initMembers(static_cast<unsigned>(members.size()));
        unsigned i = 0;
        for (const Member& member : members) {
          ToWire(member, out[i++]);
        }
        *sent += ContentBytes(results.asReader());
      });
}

kj::Promise<void> PeerServer::drain(DrainContext /*context*/) {
  poster_->PostTask(on_drain_);
  return kj::READY_NOW;
}

PeerRequestId PeerServer::NextRequestId() {
  KJ_REQUIRE(!replies_->IsFull(), "too many requests are waiting");
  return ++last_id_;
}

kj::Promise<kj::Own<PeerReply>> PeerServer::PostAndWait(PeerRequestId id,
                                                        FleetEvent event) {
  poster_->Post(std::move(event));
  return replies_->Wait(id);
}

}  // namespace cassiabend
