#include "tools/soak_proxy.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace cassiabend::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 16'384;
constexpr Milliseconds kPollPeriod{10};
constexpr int kBacklog = 256;

tcp::endpoint EndpointOf(const Address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

asio::awaitable<void> Sleep(Milliseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

/// \brief A client's connection to a proxy and the proxy's to the target.
struct ConnectionPair {
  explicit ConnectionPair(tcp::socket socket)
      : client(std::move(socket)), server(client.get_executor()) {}

  void Close() {
    error_code ec;
    client.close(ec);
    server.close(ec);
  }
  void Reset() {
    error_code ec;
    client.set_option(asio::socket_base::linger(true, 0), ec);
    server.set_option(asio::socket_base::linger(true, 0), ec);
    Close();
  }

  tcp::socket client;
  tcp::socket server;
  /// Directions that have reached their end of stream.
  int ended_directions = 0;
};

using ConnectionPairPtr = std::shared_ptr<ConnectionPair>;

/// \brief One proxy. Used only on the thread that runs its `io_context`.
class Proxy : public std::enable_shared_from_this<Proxy> {
 public:
  Proxy(asio::io_context& io, const Address& listen, const Address& target)
      : io_(io), target_(EndpointOf(target)), acceptor_(io) {
    const tcp::endpoint endpoint = EndpointOf(listen);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(kBacklog);
  }

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }

  void Start() { Spawn(Accept(shared_from_this())); }

  void SetFault(const ProxyFault& fault) {
    const bool begins_hold = fault.holds_accepts && !fault_.holds_accepts;
    const bool ends_hold = !fault.holds_accepts && fault_.holds_accepts;
    fault_ = fault;
    if (begins_hold) {
      FillAcceptQueue();
    }
    if (ends_hold) {
      RestoreAcceptQueue();
    }
  }

  void Reset() {
    const std::set<ConnectionPairPtr> pairs = std::exchange(pairs_, {});
    for (const ConnectionPairPtr& it : pairs) {
      it->Reset();
    }
  }

 private:
  using Self = std::shared_ptr<Proxy>;

  void Spawn(asio::awaitable<void> task) {
    asio::co_spawn(io_, std::move(task), asio::detached);
  }

  /// \brief Makes the kernel drop SYN packets: shrinks the accept queue to one
  /// connection and fills it with one that is never accepted.
  void FillAcceptQueue() {
    error_code ec;
    acceptor_.cancel(ec);
    acceptor_.listen(0, ec);
    queue_filler_.emplace(io_);
    queue_filler_->open(tcp::v4(), ec);
    queue_filler_->non_blocking(true, ec);
    // Asio's synchronous connect would wait even on a non-blocking socket.
    const tcp::endpoint self = acceptor_.local_endpoint();
    (void)::connect(queue_filler_->native_handle(), self.data(),
                    static_cast<socklen_t>(self.size()));
  }

  void RestoreAcceptQueue() {
    error_code ec;
    queue_filler_.reset();
    acceptor_.listen(kBacklog, ec);
  }

  static asio::awaitable<void> Accept(Self self) {
    while (self->acceptor_.is_open()) {
      if (self->fault_.holds_accepts) {
        co_await Sleep(kPollPeriod);
        continue;
      }
      error_code ec;
      tcp::socket socket = co_await self->acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        continue;
      }
      self->Spawn(
          Connect(self, std::make_shared<ConnectionPair>(std::move(socket))));
    }
  }

  static asio::awaitable<void> Connect(Self self, ConnectionPairPtr pair) {
    self->pairs_.insert(pair);
    if (self->fault_.delay > Milliseconds(0)) {
      co_await Sleep(self->fault_.delay);
    }
    error_code ec;
    co_await pair->server.async_connect(
        self->target_, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      self->Remove(pair);
      co_return;
    }
    pair->client.set_option(tcp::no_delay(true), ec);
    pair->server.set_option(tcp::no_delay(true), ec);
    self->Spawn(Forward(self, pair, true));
    self->Spawn(Forward(self, pair, false));
  }

  static asio::awaitable<void> Forward(Self self,
                                       ConnectionPairPtr pair,
                                       bool is_forward) {
    tcp::socket& from = is_forward ? pair->client : pair->server;
    tcp::socket& to = is_forward ? pair->server : pair->client;
    std::array<char, kReadBytes> buf{};
    error_code ec;
    while (!ec) {
      const std::size_t n = co_await from.async_read_some(
          asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      while (self->IsHeld(is_forward) && from.is_open()) {
        co_await Sleep(kPollPeriod);
      }
      if (!ec && self->fault_.delay > Milliseconds(0)) {
        co_await Sleep(self->fault_.delay);
      }
      if (!ec) {
        co_await asio::async_write(
            to, asio::buffer(buf.data(), n),
            asio::redirect_error(asio::use_awaitable, ec));
      }
    }
    if (ec == asio::error::eof && to.is_open()) {
      // The other direction stays open until its own end of stream.
      to.shutdown(tcp::socket::shutdown_send, ec);
      if (++pair->ended_directions == 2) {
        self->Remove(pair);
      }
      co_return;
    }
    pair->Reset();
    self->Remove(pair);
  }

  [[nodiscard]] bool IsHeld(bool is_forward) const {
    return is_forward ? fault_.holds_forward : fault_.holds_back;
  }

  void Remove(const ConnectionPairPtr& pair) {
    pair->Close();
    pairs_.erase(pair);
  }

  asio::io_context& io_;
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::optional<tcp::socket> queue_filler_;
  ProxyFault fault_;
  std::set<ConnectionPairPtr> pairs_;
};

}  // namespace

class ProxySet::Impl {
 public:
  explicit Impl(const RunClock& clock)
      : clock_(clock),
        next_run_(clock.Now() + kPollPeriod),
        work_(asio::make_work_guard(io_)) {
    asio::co_spawn(io_, DetectStalls(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() {
    io_.stop();
    thread_.join();
  }

  std::uint16_t Add(const Address& listen, const Address& target) {
    const auto proxy = std::make_shared<Proxy>(io_, listen, target);
    const std::uint16_t port = proxy->port();
    asio::post(io_, [this, proxy, ip = listen.ip, port] {
      proxies_[{ip, port}] = proxy;
      proxy->Start();
    });
    return port;
  }

  template <typename Function>
  void PostTo(const Address& address, Function function) {
    asio::post(io_, [this, key = std::pair(address.ip, address.port),
                     function] { function(proxies_.at(key).get()); });
  }

  [[nodiscard]] std::vector<TimeSpan> Stalls() const {
    const std::lock_guard lock(mutex_);
    std::vector<TimeSpan> stalls = stalls_;
    const RunTime now = clock_.Now();
    if (now - next_run_ >= kStallLimit) {
      // The current stall has not ended yet.
      stalls.push_back({next_run_, now});
    }
    return stalls;
  }

 private:
  asio::awaitable<void> DetectStalls() {
    for (;;) {
      co_await Sleep(kPollPeriod);
      const std::lock_guard lock(mutex_);
      const RunTime now = clock_.Now();
      if (now - next_run_ >= kStallLimit) {
        stalls_.push_back({next_run_, now});
      }
      next_run_ = now + kPollPeriod;
    }
  }

  const RunClock& clock_;
  mutable std::mutex mutex_;
  /// When `DetectStalls` should run next.
  RunTime next_run_{0};
  std::vector<TimeSpan> stalls_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::map<std::pair<std::string, std::uint16_t>, std::shared_ptr<Proxy>>
      proxies_;
  std::thread thread_;
};

ProxySet::ProxySet(const RunClock& clock)
    : impl_(std::make_unique<Impl>(clock)) {}

ProxySet::~ProxySet() = default;

std::uint16_t ProxySet::Add(const Address& listen, const Address& target) {
  return impl_->Add(listen, target);
}

void ProxySet::SetFault(const Address& proxy, const ProxyFault& fault) {
  impl_->PostTo(proxy, [fault](Proxy* it) { it->SetFault(fault); });
}

std::vector<TimeSpan> ProxySet::Stalls() const {
  return impl_->Stalls();
}

void ProxySet::Reset(const Address& proxy) {
  impl_->PostTo(proxy, [](Proxy* it) { it->Reset(); });
}

}  // namespace cassiabend::soak
