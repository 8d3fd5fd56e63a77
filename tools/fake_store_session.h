#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "cassiabend/base/clock.h"
#include "tools/fake_store_gateway.h"

namespace cassiabend {

class FakeStoreSession;

/// \brief What the sessions of one stand-in share.
struct FakeStoreShared {
  FakeStoreShared(std::uint32_t writes_per_second,
                  std::uint32_t reads_per_second,
                  const FakeStoreWire* wire)
      : gateway(writes_per_second, reads_per_second, wire) {}

  /// \brief Lets every watch send what it has not sent yet.
  void WakeWatches();

  FakeStoreGateway gateway;
  SystemClock clock;
  std::set<FakeStoreSession*> sessions;
};

/// \brief One client connection. Executes its requests one after the other; a
/// watch that is a stream takes the connection over for good.
class FakeStoreSession {
 public:
  /// \brief Serves `socket` until either side closes it.
  static void Start(boost::asio::ip::tcp::socket socket,
                    const std::shared_ptr<FakeStoreShared>& shared);

  FakeStoreSession(const FakeStoreSession&) = delete;
  FakeStoreSession& operator=(const FakeStoreSession&) = delete;
  virtual ~FakeStoreSession() = default;

  /// \brief Sends the events that a watch of this connection has not sent yet.
  virtual void SendEvents() = 0;
  virtual void Close() = 0;

 protected:
  FakeStoreSession() = default;
};

}  // namespace cassiabend
