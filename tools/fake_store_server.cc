#include "tools/fake_store_server.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>
#include <vector>

#include "cassiabend/base/error.h"
#include "tools/fake_store_session.h"

namespace cassiabend {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Milliseconds kLeaseCheckPeriod{100};

}  // namespace

class FakeStoreServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, const FakeStoreOptions& options)
      : acceptor_(io),
        timer_(io),
        shared_(std::make_shared<FakeStoreShared>(options.writes_per_second,
                                                  options.reads_per_second,
                                                  options.extra_protocol)) {
    try {
      const tcp::endpoint endpoint(asio::ip::make_address(options.ip),
                                   options.port);
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
      port_ = acceptor_.local_endpoint().port();
    } catch (const boost::system::system_error& ex) {
      throw StoreError("open the fake store's port",
                       options.ip + ":" + std::to_string(options.port),
                       ex.what());
    }
  }

  void Start() {
    Accept();
    CheckLeases();
  }

  std::uint16_t port() const noexcept { return port_; }

  std::string Control(const std::string& text) {
    error_code ec;
    const json::value body = json::parse(text, ec);
    if (ec || !body.is_object()) {
      return R"({"error":"the body is no JSON object"})";
    }
    const FakeStoreReply reply = shared_->backend.Control(body.get_object());
    shared_->NotifyWatches();
    return json::serialize(reply.body);
  }

  std::string Stats() const {
    return json::serialize(shared_->backend.Stats());
  }

  void Close() {
    error_code ec;
    acceptor_.close(ec);
    timer_.cancel();
    const std::vector<FakeStoreSession*> open(shared_->sessions.begin(),
                                              shared_->sessions.end());
    for (FakeStoreSession* it : open) {
      it->Close();
    }
  }

 private:
  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](error_code ec, tcp::socket socket) {
          if (ec) {
            return;
          }
          FakeStoreSession::Start(std::move(socket), self->shared_);
          self->Accept();
        });
  }

  /// \brief Expires leases periodically, also while no calls arrive.
  void CheckLeases() {
    shared_->backend.ExpireLeases(shared_->clock.Now().mono);
    shared_->NotifyWatches();
    timer_.expires_after(kLeaseCheckPeriod);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->CheckLeases();
      }
    });
  }

  tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  asio::steady_timer timer_;
  std::shared_ptr<FakeStoreShared> shared_;
};

FakeStoreServer::FakeStoreServer(asio::io_context& io,
                                 const FakeStoreOptions& options)
    : impl_(std::make_shared<Impl>(io, options)) {
  impl_->Start();
}

FakeStoreServer::~FakeStoreServer() {
  Close();
}

std::uint16_t FakeStoreServer::port() const noexcept {
  return impl_->port();
}

std::string FakeStoreServer::Control(const std::string& json) {
  return impl_->Control(json);
}

std::string FakeStoreServer::Stats() const {
  return impl_->Stats();
}

void FakeStoreServer::Close() {
  impl_->Close();
}

}  // namespace cassiabend
