#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "cassiabend/core/fleet_events.h"
#include "cassiabend/rpc/event_poster.h"
#include "cassiabend/rpc/pending_replies.h"
#include "mesh.capnp.h"

namespace cassiabend {

/// \brief The core's reply to a push, a pull or a request for members.
using PeerReply = std::variant<VersionMark, ConfigUpdate, std::vector<Member>>;
using PeerReplies = PendingReplies<PeerReply>;

/// \returns The size of a message's content, in bytes.
template <typename Reader>
[[nodiscard]] std::uint64_t ContentBytes(const Reader& reader) {
  return reader.totalSize().wordCount * sizeof(capnp::word);
}

/// \brief Serves schema/mesh.capnp: posts the calls of peers to the core as
/// events and returns the core's replies.
class PeerServer final : public schema::Peer::Server {
 public:
  PeerServer(std::shared_ptr<PeerReplies> replies,
             std::shared_ptr<EventPoster> poster,
             std::function<void()> on_drain,
             std::atomic<std::uint64_t>* members_sent)
      : replies_(std::move(replies)),
        poster_(std::move(poster)),
        on_drain_(std::move(on_drain)),
        members_sent_(members_sent) {}

  kj::Promise<void> push(PushContext context) override;
  kj::Promise<void> pull(PullContext context) override;
  kj::Promise<void> members(MembersContext context) override;
  kj::Promise<void> drain(DrainContext context) override;

 private:
  /// \throws kj::Exception when too many requests are waiting.
  PeerRequestId NextRequestId();
  /// \brief Posts the event and waits for the core's reply to it.
  kj::Promise<kj::Own<PeerReply>> PostAndWait(PeerRequestId id,
                                              FleetEvent event);

  std::shared_ptr<PeerReplies> replies_;
  std::shared_ptr<EventPoster> poster_;
  std::function<void()> on_drain_;
  std::atomic<std::uint64_t>* members_sent_;
  PeerRequestId last_id_ = 0;
};

}  // namespace cassiabend
