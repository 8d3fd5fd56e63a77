#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "cassiabend/core/event_sink.h"
#include "cassiabend/http/call_wire.h"
#include "cassiabend/http/client_exchange.h"

namespace cassiabend {

/// \brief Where and how often the upstream's health is asked for.
struct ProbeOptions {
  OutgoingPool::Endpoint endpoint;
  std::string path;
  /// Connections to the upstream that are kept open ahead of their use.
  std::uint32_t prepared_connections = 2;
  Milliseconds period{1'000};
  const CallWire* wire = &OwnCallWire();
};

/// \brief Asks the upstream for its health, each period or when told to.
class Prober final : private ExchangeListener {
 public:
  Prober(boost::asio::io_context& io,
         OutgoingPool* pool,
         ProbeOptions options,
         EventSink* sink);
  ~Prober() override;

  /// \brief Starts to probe each period.
  void Start();
  /// \brief Probes once, unless a probe is under way.
  /// \param path Path of the endpoint; empty for the option's.
  void ProbeOnce(const std::string& path);

 private:
  void OnResponseHead(MessageHead& head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;

  void Probe(const std::string& path);
  void Wait();

  OutgoingPool* pool_;
  ProbeOptions options_;
  EventSink* sink_;
  boost::asio::steady_timer timer_;
  RefPtr<ClientExchange> exchange_;
  std::uint32_t probes_ = 0;
  bool repeats_ = false;
  MessageHead head_;
  std::string body_;
};

/// \returns What an answer of the health endpoint says: JSON such as
/// {"healthy": true, "load_permille": 250}, or a bare status.
[[nodiscard]] UpstreamProbed ReadHealth(std::uint16_t status,
                                        std::string_view body);

}  // namespace cassiabend
