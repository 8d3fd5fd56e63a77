#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "cassiabend/base/clock.h"
#include "cassiabend/core/call_events.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/core/member.h"
#include "cassiabend/core/placement/traffic_split.h"
#include "cassiabend/http/call_protocol.h"
#include "cassiabend/model/config.h"

namespace cassiabend {

/// \brief Addresses and limits of the connections that carry calls.
struct CallServerOptions {
  /// This node; its address is the one to listen on.
  NodeId self;
  std::uint64_t start_id = 0;
  std::uint16_t call_port = 0;
  /// Port for callers only; 0: callers and nodes share `call_port`.
  std::uint16_t caller_port = 0;
  const CallProtocol* call_protocol = &DefaultCallProtocol();
  /// Counts the bytes exchanged with other nodes; may be null. Must outlive
  /// the server.
  TrafficSplit* traffic = nullptr;
  /// Upstream on this host; port 0: there is none.
  std::string upstream_ip;
  std::uint16_t upstream_port = 0;
  std::uint32_t max_connections = 4'096;
  std::uint32_t max_header_bytes = 16 * 1024;
  /// Request bodies are buffered whole, so that an attempt can be sent again.
  std::uint32_t max_request_body_bytes = 1024 * 1024;
  /// An answer up to this size is kept whole at its destination, so that it
  /// can be fetched again after the entry node has lost its connection.
  std::uint32_t held_answer_bytes = 256 * 1024;
  /// Limit of all buffered requests and answers together.
  std::uint64_t max_held_bytes = std::uint64_t{64} * 1024 * 1024;
  /// Requests of one connection that are read before the first is answered.
  /// Each may buffer 64 KB of its answer until the earlier ones are answered.
  std::uint32_t max_pipelined_requests = 16;
  /// Capacity of this host's network link in kilobits per second; 0: unknown.
  std::uint32_t link_kilobits = 0;
  Milliseconds connect_timeout{250};
  /// Longest time without progress within a request or an answer.
  Milliseconds progress_timeout{2'000};
  Milliseconds idle_timeout{30'000};
  /// Idle connections that are kept to the upstream and to each node.
  std::uint32_t idle_connections = 8;
  /// Connections to the upstream that are opened before they are needed.
  std::uint32_t prepared_connections = 2;
  /// Answers up to this size are forwarded only once complete, so that another
  /// upstream can take over when this one fails within its answer.
  std::uint32_t whole_answer_bytes = 16 * 1024;
  /// Time between health probes of the upstream; 0: only `ProbeUpstream`
  /// effects start a probe.
  Milliseconds probe_period{1'000};
  /// Path of the upstream's health endpoint; empty: there is none.
  std::string health_path = "/healthz";
};

/// \brief Counters and gauges of the connections that carry calls.
struct CallServerCounts {
  std::uint64_t connections = 0;
  std::uint64_t open_connections = 0;
  std::uint64_t rejected_requests = 0;
  /// Requests that arrived before an earlier one of their connection was
  /// answered.
  std::uint64_t pipelined_requests = 0;
  std::uint64_t relayed_bytes = 0;
  std::uint64_t held_bytes = 0;
  /// Large answers that have ended, and the total time spent on sending them.
  std::uint64_t large_answers = 0;
  std::uint64_t large_answer_ms = 0;
  /// Bytes of large answers that wait for this host's network link.
  std::uint64_t link_waiting_bytes = 0;
};

/// \brief Server and client of the calls: accepts callers and other nodes, and
/// sends attempts to other nodes and to this host's upstream. It decides
/// nothing: it posts events to the sink and executes the effects that the call
/// reducer returns. To be used on the thread of `io` only.
class CallServer {
 public:
  /// \param sink Receives the call events.
  /// \throws HttpError when a port cannot be opened or an address not parsed.
  CallServer(boost::asio::io_context& io,
             const Clock& clock,
             const CallServerOptions& options,
             EventSink* sink);
  CallServer(const CallServer&) = delete;
  CallServer& operator=(const CallServer&) = delete;
  ~CallServer();

  /// \returns The port that other nodes reach, and callers unless they have a
  /// port of their own.
  [[nodiscard]] std::uint16_t call_port() const noexcept;
  [[nodiscard]] CallServerCounts counts() const noexcept;

  /// \brief Executes one effect of the call reducer. Effects for other parts of
  /// the node, such as `StoreCall` and `DrainFinished`, are ignored.
  void Execute(const CallEffect& effect);

  /// \brief Applies the configuration's limits to the requests that callers
  /// begin to send from now on, and to answers.
  void SetLimits(const CallerLimits& limits);
  /// \brief Ends callers' connections with their next answer, which says
  /// "Connection: close". New connections are still accepted.
  void AnnounceShutdown();
  /// \brief Accepts no more connections; open ones end after the requests in
  /// progress, or after the next one.
  void StopAccepting();
  /// \brief Closes all connections at once; requests in progress are lost.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cassiabend
