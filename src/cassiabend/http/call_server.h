#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "cassiabend/base/clock.h"
#include "cassiabend/core/call_events.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/core/member.h"
#include "cassiabend/http/call_wire.h"
#include "cassiabend/model/config.h"

namespace cassiabend {

/// \brief Addresses and limits of the call path's connections.
struct CallServerOptions {
  NodeId self;
  std::uint64_t start_id = 0;
  std::uint16_t call_port = 0;
  /// Port for callers alone; 0: they share the call port with the nodes.
  std::uint16_t caller_port = 0;
  const CallWire* wire = &OwnCallWire();
  /// Upstream on this host; port 0 for none.
  std::string upstream_ip;
  std::uint16_t upstream_port = 0;
  std::uint32_t max_connections = 4'096;
  std::uint32_t max_header_bytes = 16 * 1024;
  /// Request bodies are held whole so that an attempt can be sent again.
  std::uint32_t max_request_body_bytes = 1024 * 1024;
  /// Bytes of one answer that are held when its link is lost.
  std::uint32_t held_answer_bytes = 256 * 1024;
  /// Bytes of all held requests and answers.
  std::uint64_t max_held_bytes = std::uint64_t{64} * 1024 * 1024;
  /// Requests of one connection that are read before the first is answered.
  /// Each may hold an answer of one window (64 KB) until its turn.
  std::uint32_t max_pipelined_requests = 16;
  /// Width of this host's link, in kilobits a second; 0: it is not known.
  std::uint32_t link_kilobits = 0;
  Milliseconds connect_timeout{250};
  /// Longest pause within a request, or between bytes of an answer.
  Milliseconds progress_timeout{2'000};
  Milliseconds idle_timeout{30'000};
  /// Idle connections kept to the upstream and to each peer.
  std::uint32_t idle_connections = 8;
  /// Connections to the upstream that are opened ahead of their use.
  std::uint32_t prepared_connections = 2;
  /// Answers up to this size are passed on only when they are whole, so that an
  /// upstream that breaks off within one can still be replaced by another.
  std::uint32_t whole_answer_bytes = 16 * 1024;
  /// Pause between probes of the upstream; 0: it is probed only when a decision
  /// asks for it.
  Milliseconds probe_period{1'000};
  /// Path of the upstream's health endpoint; empty for none.
  std::string health_path = "/healthz";
};

/// \brief Counters of the call path's connections.
struct CallServerCounts {
  std::uint64_t connections = 0;
  std::uint64_t open_connections = 0;
  std::uint64_t rejected_requests = 0;
  /// Requests that arrived before an earlier one of their connection was
  /// answered.
  std::uint64_t pipelined_requests = 0;
  std::uint64_t relayed_bytes = 0;
  std::uint64_t held_bytes = 0;
  /// Large answers that left, and the time that they took to leave.
  std::uint64_t large_answers = 0;
  std::uint64_t large_answer_ms = 0;
  /// Bytes of large answers that wait for this host's link.
  std::uint64_t link_waiting_bytes = 0;
};

/// \brief Carries calls: callers and other nodes come in on the call port,
/// attempts go out to other nodes and to this host's upstream. All decisions
/// arrive as effects. Used on the thread of `io` only.
class CallServer {
 public:
  /// \throws HttpError when the call port cannot be opened.
  CallServer(boost::asio::io_context& io,
             const Clock& clock,
             const CallServerOptions& options,
             EventSink* sink);
  CallServer(const CallServer&) = delete;
  CallServer& operator=(const CallServer&) = delete;
  ~CallServer();

  /// \returns The port that callers reach.
  [[nodiscard]] std::uint16_t call_port() const noexcept;
  [[nodiscard]] CallServerCounts counts() const noexcept;

  /// \brief Carries out one effect of the call reducer. Those for other parts
  /// of the node, such as `StoreCall` and `DrainFinished`, do nothing.
  void Execute(const CallEffect& effect);

  /// \brief Takes over the configuration's bounds for callers' connections that
  /// are accepted from now on.
  void SetLimits(const CallerLimits& limits);
  /// \brief Tells callers with their next answer to open no more requests on
  /// their connections. New connections are still served.
  void AnnounceShutdown();
  /// \brief Accepts no more connections; open ones end after the request in
  /// progress, or the next one.
  void StopAccepting();
  /// \brief Closes everything.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cassiabend
