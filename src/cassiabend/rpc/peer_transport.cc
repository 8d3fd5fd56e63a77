#include "cassiabend/rpc/peer_transport.h"

#include <kj/timer.h>

#include <atomic>
#include <optional>
#include <utility>
#include <variant>

#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"
#include "cassiabend/rpc/datagram_socket.h"
#include "cassiabend/rpc/event_poster.h"
#include "cassiabend/rpc/kj_thread.h"
#include "cassiabend/rpc/mesh_codec.h"
#include "cassiabend/rpc/peer_links.h"
#include "cassiabend/rpc/pending_replies.h"
#include "cassiabend/rpc/rpc_listener.h"

namespace cassiabend {
namespace {

constexpr std::size_t kMaxWaitingRequests = 1'024;
constexpr std::uint32_t kMaxCallsInFlight = 1'024;
constexpr auto kIdleSweepPeriod = 10 * kj::SECONDS;

using PeerReply = std::variant<VersionMark, ConfigUpdate, std::vector<Member>>;
using PeerReplies = PendingReplies<PeerReply>;

/// \brief TCP traffic of the transport.
struct RpcCounters {
  TcpCounters all;
  /// Part of `all`: the lists of members.
  std::atomic<std::uint64_t> members_sent{0};
  std::atomic<std::uint64_t> members_received{0};
};

/// \returns The size of a message's content, in bytes.
template <typename Reader>
std::uint64_t BytesOf(const Reader& reader) {
  return reader.totalSize().wordCount * sizeof(capnp::word);
}

/// \returns `all` without `part`, which may be counted a moment earlier.
std::uint64_t Rest(std::uint64_t all, std::uint64_t part) noexcept {
  return all > part ? all - part : 0;
}

/// \brief Answers the calls of peers with what the core decides.
class PeerServer final : public schema::Peer::Server {
 public:
  PeerServer(PeerReplies* replies,
             std::shared_ptr<EventPoster> poster,
             std::function<void()> on_drain,
             std::atomic<std::uint64_t>* members_sent)
      : replies_(replies),
        poster_(std::move(poster)),
        on_drain_(std::move(on_drain)),
        members_sent_(members_sent) {}

  kj::Promise<void> push(PushContext context) override {
    PushReceived event{NextId(), FromWire(context.getParams().getUpdate())};
    return Ask(event.request, event)
        .then([context](kj::Own<PeerReply>&& it) mutable {
          ToWire(std::get<VersionMark>(*it), context.getResults().initMark());
        });
  }

  kj::Promise<void> pull(PullContext context) override {
    const PullReceived event{NextId(), FromWire(context.getParams().getHave())};
    return Ask(event.request, event)
        .then([context](kj::Own<PeerReply>&& it) mutable {
          ToWire(std::get<ConfigUpdate>(*it),
                 context.getResults().initUpdate());
        });
  }

  kj::Promise<void> members(MembersContext context) override {
    const MembersRequested event{NextId()};
    return Ask(event.request, event)
        .then([context, sent = members_sent_](kj::Own<PeerReply>&& it) mutable {
          const auto& members = std::get<std::vector<Member>>(*it);
          auto results = context.getResults();
          auto out = results.initMembers(static_cast<unsigned>(members.size()));
          unsigned i = 0;
          for (const Member& member : members) {
            ToWire(member, out[i++]);
          }
          *sent += BytesOf(results.asReader());
        });
  }

  kj::Promise<void> drain(DrainContext /*context*/) override {
    poster_->PostTask(on_drain_);
    return kj::READY_NOW;
  }

 private:
  PeerRequestId NextId() {
    KJ_REQUIRE(!replies_->IsFull(), "too many requests are waiting");
    return ++last_id_;
  }

  kj::Promise<kj::Own<PeerReply>> Ask(PeerRequestId id, FleetEvent event) {
    poster_->Post(std::move(event));
    return replies_->Wait(id);
  }

  PeerReplies* replies_;
  std::shared_ptr<EventPoster> poster_;
  std::function<void()> on_drain_;
  std::atomic<std::uint64_t>* members_sent_;
  PeerRequestId last_id_ = 0;
};

std::vector<Member> ReadMembers(capnp::List<schema::Member>::Reader members) {
  std::vector<Member> out;
  for (const auto it : members) {
    out.push_back(FromWire(it));
  }
  return out;
}

/// \brief The part of the transport that lives on the KJ thread.
class RpcSide final : private kj::TaskSet::ErrorHandler {
 public:
  RpcSide(kj::AsyncIoContext& io,
          const PeerTransportOptions& options,
          std::shared_ptr<EventPoster> poster,
          std::function<void()> on_drain,
          RpcCounters* counters)
      : timer_(io.provider->getTimer()),
        counters_(counters),
        poster_(poster),
        replies_(timer_, kMaxWaitingRequests, options.rpc_timeout),
        links_(io, options, &counters->all),
        listener_(io,
                  {.ip = options.self.ip,
                   .port = options.self.peer_port,
                   .max_connections = options.max_connections,
                   .max_message_bytes = options.max_message_bytes},
                  kj::heap<PeerServer>(&replies_,
                                       poster,
                                       std::move(on_drain),
                                       &counters->members_sent),
                  &counters->all),
        tasks_(*this) {
    tasks_.add(SweepIdle());
  }

  void Answer(PeerRequestId id, PeerReply reply) {
    replies_.Answer(id, std::move(reply));
  }

  void Push(const SendPush& push) {
    Call(
        push.to,
        [update = push.update](schema::Peer::Client& peer) {
          auto request = peer.pushRequest();
          ToWire(update, request.initUpdate());
          return request.send().then(
              [](auto&& it) { return FromWire(it.getMark()); });
        },
        &PushAnswered::mark);
  }

  void Pull(const SendPull& pull) {
    Call(
        pull.to,
        [have = pull.have](schema::Peer::Client& peer) {
          auto request = peer.pullRequest();
          ToWire(have, request.initHave());
          return request.send().then(
              [](auto&& it) { return FromWire(it.getUpdate()); });
        },
        &PullAnswered::update);
  }

  void AskMembers(const SendMembersRequest& ask) {
    Call(
        ask.to,
        [received = &counters_->members_received](schema::Peer::Client& peer) {
          return peer.membersRequest().send().then([received](auto&& it) {
            *received += BytesOf(it);
            return ReadMembers(it.getMembers());
          });
        },
        &MembersAnswered::members);
  }

  void AskDrain(const NodeId& to) {
    auto call = links_.Call(to, [](schema::Peer::Client& peer) {
      return peer.drainRequest().send().ignoreResult();
    });
    tasks_.add(call.catch_([to](kj::Exception&& ex) {
      Log(LogLevel::kWarning, "drain_request_failed",
          {{"peer", ToString(to)}, {"why", ex.getDescription().cStr()}});
    }));
  }

 private:
  /// \brief Calls a peer and posts the event `Answered` with the answer in
  /// `field`, or with the field unset when the peer failed.
  template <typename Func, typename Answered, typename T>
  void Call(const NodeId& to, Func func, std::optional<T> Answered::*field) {
    const auto post = [this, to, field](std::optional<T> answer) {
      --calls_in_flight_;
      Answered event;
      event.peer = to;
      event.*field = std::move(answer);
      poster_->Post(FleetEvent(std::move(event)));
    };
    ++calls_in_flight_;
    if (calls_in_flight_ > kMaxCallsInFlight) {
      post(std::nullopt);
      return;
    }
    tasks_.add(links_.Call(to, std::move(func))
                   .then([post](T&& answer) { post(std::move(answer)); },
                         [post, to](kj::Exception&& ex) {
                           Log(LogLevel::kInfo, "peer_call_failed",
                               {{"peer", ToString(to)},
                                {"why", ex.getDescription().cStr()}});
                           post(std::nullopt);
                         }));
  }

  kj::Promise<void> SweepIdle() {
    return timer_.afterDelay(kIdleSweepPeriod).then([this] {
      links_.CloseIdle();
      return SweepIdle();
    });
  }

  void taskFailed(kj::Exception&& ex) override {
    Log(LogLevel::kError, "peer_task_failed",
        {{"why", ex.getDescription().cStr()}});
  }

  kj::Timer& timer_;
  RpcCounters* counters_;
  std::shared_ptr<EventPoster> poster_;
  PeerReplies replies_;
  PeerLinks links_;
  RpcListener listener_;
  std::uint32_t calls_in_flight_ = 0;
  kj::TaskSet tasks_;
};

}  // namespace

class PeerTransport::Impl {
 public:
  Impl(boost::asio::io_context& io,
       const PeerTransportOptions& options,
       EventSink* sink)
      : poster_(std::make_shared<EventPoster>(io, sink)),
        datagrams_(std::make_shared<DatagramSocket>(io, options.self)) {
    const auto on_drain = [this] {
      if (on_drain_) {
        on_drain_();
      }
    };
    kj_.Run([&] {
      rpc_ = std::make_unique<RpcSide>(kj_.io(), options, poster_, on_drain,
                                       &rpc_counters_);
    });
    datagrams_->Start([sink](Datagram datagram) {
      sink->Post(FleetEvent(DatagramReceived{std::move(datagram)}));
    });
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() { Close(); }

  [[nodiscard]] PeerTraffic traffic() const noexcept {
    const DatagramCounts& counts = datagrams_->counts();
    PeerTraffic out;
    out.datagrams_sent = counts.sent;
    out.datagrams_received = counts.received;
    out.beat_bytes_sent = counts.beat_bytes_sent;
    out.beat_bytes_received = counts.beat_bytes_received;
    out.membership_bytes_sent = counts.membership_bytes_sent;
    out.membership_bytes_received = counts.membership_bytes_received;
    const std::uint64_t members_sent = rpc_counters_.members_sent;
    const std::uint64_t members_received = rpc_counters_.members_received;
    out.membership_bytes_sent += members_sent;
    out.membership_bytes_received += members_received;
    out.config_bytes_sent = Rest(rpc_counters_.all.sent, members_sent);
    out.config_bytes_received =
        Rest(rpc_counters_.all.received, members_received);
    out.rejected_messages = counts.rejected + rpc_counters_.all.rejected;
    return out;
  }

  void Execute(const FleetEffect& effect) {
    std::visit([this](const auto& it) { Carry(it); }, effect);
  }

  void SendDrain(const NodeId& to) {
    Post([to](RpcSide& rpc) { rpc.AskDrain(to); });
  }

  void OnDrain(std::function<void()> handler) {
    on_drain_ = std::move(handler);
  }

  void Close() {
    poster_->Close();
    datagrams_->Close();
    kj_.Run([this] { rpc_.reset(); });
  }

 private:
  /// \brief Runs `task` on the KJ thread unless the transport is closed.
  void Post(std::function<void(RpcSide& rpc)> task) {
    kj_.Post([this, task = std::move(task)] {
      if (rpc_) {
        task(*rpc_);
      }
    });
  }

  void Answer(PeerRequestId id, PeerReply reply) {
    Post([id, reply = std::move(reply)](RpcSide& rpc) {
      rpc.Answer(id, reply);
    });
  }

  void Carry(const SendDatagram& it) { datagrams_->Send(it.to, it.datagram); }
  void Carry(const SendPush& it) {
    Post([it](RpcSide& rpc) { rpc.Push(it); });
  }
  void Carry(const SendPull& it) {
    Post([it](RpcSide& rpc) { rpc.Pull(it); });
  }
  void Carry(const SendMembersRequest& it) {
    Post([it](RpcSide& rpc) { rpc.AskMembers(it); });
  }
  void Carry(const ReplyPush& it) { Answer(it.request, it.mark); }
  void Carry(const ReplyPull& it) { Answer(it.request, it.update); }
  void Carry(const ReplyMembers& it) { Answer(it.request, it.members); }
  // Effects that are not for the transport.
  template <typename Other>
  void Carry(const Other& /*it*/) {}

  std::shared_ptr<EventPoster> poster_;
  std::shared_ptr<DatagramSocket> datagrams_;
  std::function<void()> on_drain_;
  RpcCounters rpc_counters_;
  /// Lives on the thread of `kj_`.
  std::unique_ptr<RpcSide> rpc_;
  KjThread kj_;
};

PeerTransport::PeerTransport(boost::asio::io_context& io,
                             const PeerTransportOptions& options,
                             EventSink* sink)
    : impl_(std::make_shared<Impl>(io, options, sink)) {}

PeerTransport::~PeerTransport() {
  Close();
}

PeerTraffic PeerTransport::traffic() const noexcept {
  return impl_->traffic();
}

void PeerTransport::Execute(const FleetEffect& effect) {
  impl_->Execute(effect);
}

void PeerTransport::SendDrain(const NodeId& to) {
  impl_->SendDrain(to);
}

void PeerTransport::OnDrain(std::function<void()> handler) {
  impl_->OnDrain(std::move(handler));
}

void PeerTransport::Close() {
  impl_->Close();
}

}  // namespace cassiabend
