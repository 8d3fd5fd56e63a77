#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "cassiabend/core/event_sink.h"
#include "cassiabend/http/call_protocol.h"
#include "cassiabend/http/client_exchange.h"

namespace cassiabend {

/// \brief Target and timing of the health probes.
struct ProbeOptions {
  ConnectionPool::Endpoint endpoint;
  /// Path of the health endpoint.
  std::string path;
  /// Connections to the upstream that are opened before they are needed.
  std::uint32_t prepared_connections = 2;
  /// Time between probes, and the timeout of each.
  Milliseconds period{1'000};
  const CallProtocol* call_protocol = &DefaultCallProtocol();
};

/// \brief Probes the upstream's health, each period or on request, and posts
/// `UpstreamProbed`.
class Prober final : private ExchangeListener {
 public:
  Prober(boost::asio::io_context& io,
         ConnectionPool* pool,
         ProbeOptions options,
         EventSink* sink);
  ~Prober() override;

  /// \brief Starts to probe each period. The first probes follow each other ten
  /// times as fast.
  void Start();
  /// \brief Probes once, unless a probe is in progress.
  /// \param path Path of the endpoint; empty for `ProbeOptions::path`.
  void ProbeOnce(const std::string& path);

 private:
  void OnResponseHead(MessageHead& head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;

  void Probe(const std::string& path);
  void ScheduleNext();

  ConnectionPool* pool_;
  ProbeOptions options_;
  EventSink* sink_;
  boost::asio::steady_timer timer_;
  RefPtr<ClientExchange> exchange_;
  std::uint32_t probe_count_ = 0;
  bool is_periodic_ = false;
  MessageHead head_;
  std::string body_;
};

/// \brief Reads an answer of the health endpoint: JSON such as
/// {"healthy": true, "load_permille": 250}, or the status alone.
/// \returns Healthy for status 200, unless the body says otherwise.
[[nodiscard]] UpstreamProbed ReadHealth(std::uint16_t status,
                                        std::string_view body);

}  // namespace cassiabend
