#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "cassiabend/base/clock.h"
#include "tools/fake_store_backend.h"

namespace cassiabend {

class FakeStoreSession;

/// \brief State that all sessions of a fake store share.
struct FakeStoreShared {
  FakeStoreShared(std::uint32_t writes_per_second,
                  std::uint32_t reads_per_second,
                  const FakeStoreProtocol* extra_protocol)
      : backend(writes_per_second, reads_per_second, extra_protocol) {}

  /// \brief Makes every watch send its unsent events.
  void NotifyWatches();

  FakeStoreBackend backend;
  SystemClock clock;
  std::set<FakeStoreSession*> sessions;
};

/// \brief One client connection. Executes its requests one after the other; a
/// streaming watch occupies the connection until it closes.
class FakeStoreSession {
 public:
  /// \brief Serves `socket` until either side closes it.
  static void Start(boost::asio::ip::tcp::socket socket,
                    const std::shared_ptr<FakeStoreShared>& shared);

  FakeStoreSession(const FakeStoreSession&) = delete;
  FakeStoreSession& operator=(const FakeStoreSession&) = delete;
  virtual ~FakeStoreSession() = default;

  /// \brief Sends the unsent events of this connection's watch, if it has
  /// one.
  virtual void SendEvents() = 0;
  virtual void Close() = 0;

 protected:
  FakeStoreSession() = default;
};

}  // namespace cassiabend
