#include "cassiabend/rpc/peer_transport.h"

#include <utility>
#include <variant>

#include "cassiabend/rpc/datagram_socket.h"
#include "cassiabend/rpc/event_poster.h"
#include "cassiabend/rpc/kj_thread.h"
#include "cassiabend/rpc/peer_rpc.h"

namespace cassiabend {
namespace {

/// \returns `all - part`, or 0 when `part` is larger: it may have been counted
/// a moment before `all`.
std::uint64_t SaturatingSubtract(std::uint64_t all,
                                 std::uint64_t part) noexcept {
  return all > part ? all - part : 0;
}

}  // namespace

class PeerTransport::Impl {
 public:
  Impl(boost::asio::io_context& io,
       const PeerTransportOptions& options,
       EventSink* sink)
      : poster_(std::make_shared<EventPoster>(io, sink)),
        datagrams_(std::make_shared<DatagramSocket>(io,
                                                    options.self,
                                                    options.traffic)) {
    const auto on_drain = [this] {
      if (on_drain_) {
        on_drain_();
      }
    };
    kj_.Run([&] {
      rpc_ = std::make_unique<PeerRpc>(kj_.io(), options, poster_, on_drain,
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
    out.heartbeat_bytes_sent = counts.heartbeat_bytes_sent;
    out.heartbeat_bytes_received = counts.heartbeat_bytes_received;
    out.membership_bytes_sent = counts.membership_bytes_sent;
    out.membership_bytes_received = counts.membership_bytes_received;
    const std::uint64_t members_sent = rpc_counters_.members_sent;
    const std::uint64_t members_received = rpc_counters_.members_received;
    out.membership_bytes_sent += members_sent;
    out.membership_bytes_received += members_received;
    out.config_bytes_sent =
        SaturatingSubtract(rpc_counters_.all.sent, members_sent);
    out.config_bytes_received =
        SaturatingSubtract(rpc_counters_.all.received, members_received);
    out.rejected_messages = counts.rejected + rpc_counters_.all.rejected;
    return out;
  }

  void Execute(const FleetEffect& effect) {
    std::visit([this](const auto& it) { ExecuteEffect(it); }, effect);
  }

  void RequestDrain(const NodeId& to) {
    Post([to](PeerRpc& rpc) { rpc.RequestDrain(to); });
  }

  void SetDrainHandler(std::function<void()> handler) {
    on_drain_ = std::move(handler);
  }

  void Close() {
    poster_->Close();
    datagrams_->Close();
    kj_.Run([this] { rpc_.reset(); });
  }

 private:
  /// \brief Runs `task` on the KJ thread unless the transport is closed.
  void Post(std::function<void(PeerRpc& rpc)> task) {
    kj_.Post([this, task = std::move(task)] {
      if (rpc_) {
        task(*rpc_);
      }
    });
  }

  void SendReply(PeerRequestId id, PeerReply reply) {
    Post([id, reply = std::move(reply)](PeerRpc& rpc) {
      rpc.SendReply(id, reply);
    });
  }

  void ExecuteEffect(const SendDatagram& it) {
    datagrams_->Send(it.to, it.datagram);
  }
  void ExecuteEffect(const SendPush& it) {
    Post([it](PeerRpc& rpc) { rpc.Push(it); });
  }
  void ExecuteEffect(const SendPull& it) {
    Post([it](PeerRpc& rpc) { rpc.Pull(it); });
  }
  void ExecuteEffect(const SendMembersRequest& it) {
    Post([it](PeerRpc& rpc) { rpc.RequestMembers(it); });
  }
  void ExecuteEffect(const ReplyPush& it) { SendReply(it.request, it.mark); }
  void ExecuteEffect(const ReplyPull& it) { SendReply(it.request, it.update); }
  void ExecuteEffect(const ReplyMembers& it) {
    SendReply(it.request, it.members);
  }
  // Effects that other components execute.
  template <typename Other>
  void ExecuteEffect(const Other& /*it*/) {}

  std::shared_ptr<EventPoster> poster_;
  std::shared_ptr<DatagramSocket> datagrams_;
  std::function<void()> on_drain_;
  PeerRpcCounters rpc_counters_;
  /// Used on the thread of `kj_` only.
  std::unique_ptr<PeerRpc> rpc_;
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

void PeerTransport::RequestDrain(const NodeId& to) {
  impl_->RequestDrain(to);
}

void PeerTransport::SetDrainHandler(std::function<void()> handler) {
  impl_->SetDrainHandler(std::move(handler));
}

void PeerTransport::Close() {
  impl_->Close();
}

}  // namespace cassiabend
