#include "cassiabend/rpc/peer_rpc.h"

#include <utility>
#include <vector>

#include "cassiabend/base/log.h"
#include "cassiabend/rpc/mesh_codec.h"

namespace cassiabend {
namespace {

constexpr std::size_t kMaxWaitingRequests = 1'024;
constexpr std::uint32_t kMaxCallsInFlight = 1'024;
constexpr auto kIdleSweepPeriod = 10 * kj::SECONDS;

std::vector<Member> ReadMembers(capnp::List<schema::Member>::Reader members) {
  std::vector<Member> out;
  for (const auto it : members) {
    out.push_back(FromWire(it));
  }
  return out;
}

}  // namespace

PeerRpc::PeerRpc(kj::AsyncIoContext& io,
                 const PeerTransportOptions& options,
                 const std::shared_ptr<EventPoster>& poster,
                 std::function<void()> on_drain,
                 PeerRpcCounters* counters)
    : timer_(io.provider->getTimer()),
      counters_(counters),
      poster_(poster),
      replies_(std::make_shared<PeerReplies>(timer_,
                                             kMaxWaitingRequests,
                                             options.rpc_timeout)),
      connections_(io, options, &counters->all),
      listener_(io,
                {.ip = options.self.ip,
                 .port = options.self.peer_port,
                 .max_connections = options.max_connections,
                 .max_message_bytes = options.max_message_bytes},
                kj::heap<PeerServer>(replies_,
                                     poster,
                                     std::move(on_drain),
                                     &counters->members_sent),
                &counters->all),
      tasks_(*this) {
  tasks_.add(CloseIdlePeriodically());
}

PeerRpc::~PeerRpc() {
  replies_->Close();
}

void PeerRpc::SendReply(PeerRequestId id, PeerReply reply) {
  replies_->Fulfill(id, std::move(reply));
}

void PeerRpc::Push(const SendPush& push) {
  Call(
      push.to,
      [update = push.update](schema::Peer::Client& peer) {
        auto request = peer.pushRequest();
        ToWire(update, request.initUpdate());
        return request.send().then(
            [](auto&& it) { return FromWire(it.getMark()); });
      },
      &PushReplied::mark);
}

void PeerRpc::Pull(const SendPull& pull) {
  Call(
      pull.to,
      [have = pull.have](schema::Peer::Client& peer) {
        auto request = peer.pullRequest();
        ToWire(have, request.initHave());
        return request.send().then(
            [](auto&& it) { return FromWire(it.getUpdate()); });
      },
      &PullReplied::update);
}

void PeerRpc::RequestMembers(const SendMembersRequest& request) {
  Call(
      request.to,
      [received = &counters_->members_received](schema::Peer::Client& peer) {
        return peer.membersRequest().send().then([received](auto&& it) {
          *received += ContentBytes(it);
          return ReadMembers(it.getMembers());
        });
      },
      &MembersReplied::members);
}

void PeerRpc::RequestDrain(const NodeId& to) {
  auto call = connections_.Call(to, [](schema::Peer::Client& peer) {
    return peer.drainRequest().send().ignoreResult();
  });
  tasks_.add(call.catch_([to](kj::Exception&& ex) {
    Log(LogLevel::kWarning, "drain_request_failed",
        {{"peer", ToString(to)}, {"why", ex.getDescription().cStr()}});
  }));
}

/// \brief Calls a peer and posts a `ReplyEvent` with the reply in `field`. The
/// field is unset when the call failed or too many calls are in flight.
template <typename Func, typename ReplyEvent, typename T>
void PeerRpc::Call(const NodeId& to,
                   Func func,
                   std::optional<T> ReplyEvent::*field) {
  const auto post = [this, to, field](std::optional<T> reply) {
    --calls_in_flight_;
    ReplyEvent event;
    event.peer = to;
    event.*field = std::move(reply);
    poster_->Post(FleetEvent(std::move(event)));
  };
  ++calls_in_flight_;
  if (calls_in_flight_ > kMaxCallsInFlight) {
    post(std::nullopt);
    return;
  }
  tasks_.add(connections_.Call(to, std::move(func))
                 .then([post](T&& reply) { post(std::move(reply)); },
                       [post, to](kj::Exception&& ex) {
                         Log(LogLevel::kInfo, "peer_call_failed",
                             {{"peer", ToString(to)},
                              {"why", ex.getDescription().cStr()}});
                         post(std::nullopt);
                       }));
}

kj::Promise<void> PeerRpc::CloseIdlePeriodically() {
  return timer_.afterDelay(kIdleSweepPeriod).then([this] {
    connections_.CloseIdle();
    return CloseIdlePeriodically();
  });
}

void PeerRpc::taskFailed(kj::Exception&& ex) {
  Log(LogLevel::kError, "peer_task_failed",
      {{"why", ex.getDescription().cStr()}});
}

}  // namespace cassiabend
