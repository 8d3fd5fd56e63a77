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
constexpr Milliseconds kHoldPoll{10};
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
struct Pair {
  explicit Pair(tcp::socket socket)
      : near(std::move(socket)), far(near.get_executor()) {}

  void Close() {
    error_code ec;
    near.close(ec);
    far.close(ec);
  }
  void Reset() {
    error_code ec;
    near.set_option(asio::socket_base::linger(true, 0), ec);
    far.set_option(asio::socket_base::linger(true, 0), ec);
    Close();
  }

  tcp::socket near;
  tcp::socket far;
  /// Directions that have reached their end of stream.
  int ends = 0;
};

using PairPtr = std::shared_ptr<Pair>;

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
    const bool closes = fault.holds_accepts && !fault_.holds_accepts;
    const bool opens = !fault.holds_accepts && fault_.holds_accepts;
    fault_ = fault;
    if (closes) {
      CloseGate();
    }
    if (opens) {
      OpenGate();
    }
  }

  void Reset() {
    const std::set<PairPtr> pairs = std::exchange(pairs_, {});
    for (const PairPtr& it : pairs) {
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
  void CloseGate() {
    error_code ec;
    acceptor_.cancel(ec);
    acceptor_.listen(0, ec);
    filler_.emplace(io_);
    filler_->open(tcp::v4(), ec);
    filler_->non_blocking(true, ec);
    // Asio's synchronous connect would wait even on a non-blocking socket.
    const tcp::endpoint self = acceptor_.local_endpoint();
    (void)::connect(filler_->native_handle(), self.data(),
                    static_cast<socklen_t>(self.size()));
  }

  void OpenGate() {
    error_code ec;
    filler_.reset();
    acceptor_.listen(kBacklog, ec);
  }

  static asio::awaitable<void> Accept(Self self) {
    while (self->acceptor_.is_open()) {
      if (self->fault_.holds_accepts) {
        co_await Sleep(kHoldPoll);
        continue;
      }
      error_code ec;
      tcp::socket socket = co_await self->acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        continue;
      }
      self->Spawn(Connect(self, std::make_shared<Pair>(std::move(socket))));
    }
  }

  static asio::awaitable<void> Connect(Self self, PairPtr pair) {
    self->pairs_.insert(pair);
    if (self->fault_.delay > Milliseconds(0)) {
      co_await Sleep(self->fault_.delay);
    }
    error_code ec;
    co_await pair->far.async_connect(
        self->target_, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      self->End(pair);
      co_return;
    }
    pair->near.set_option(tcp::no_delay(true), ec);
    pair->far.set_option(tcp::no_delay(true), ec);
    self->Spawn(Pump(self, pair, true));
    self->Spawn(Pump(self, pair, false));
  }

  static asio::awaitable<void> Pump(Self self, PairPtr pair, bool is_forward) {
    tcp::socket& from = is_forward ? pair->near : pair->far;
    tcp::socket& to = is_forward ? pair->far : pair->near;
    std::array<char, kReadBytes> buf{};
    error_code ec;
    while (!ec) {
      const std::size_t n = co_await from.async_read_some(
          asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      while (self->Holds(is_forward) && from.is_open()) {
        co_await Sleep(kHoldPoll);
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
      if (++pair->ends == 2) {
        self->End(pair);
      }
      co_return;
    }
    pair->Reset();
    self->End(pair);
  }

  [[nodiscard]] bool Holds(bool is_forward) const {
    return is_forward ? fault_.holds_forward : fault_.holds_back;
  }

  void End(const PairPtr& pair) {
    pair->Close();
    pairs_.erase(pair);
  }

  asio::io_context& io_;
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::optional<tcp::socket> filler_;
  ProxyFault fault_;
  std::set<PairPtr> pairs_;
};

}  // namespace

class ProxySet::Impl {
 public:
  explicit Impl(const RunClock& clock)
      : clock_(clock),
        due_(clock.Now() + kHoldPoll),
        work_(asio::make_work_guard(io_)) {
    asio::co_spawn(io_, WatchStalls(), asio::detached);
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

  template <typename Use>
  void With(const Address& address, Use use) {
    asio::post(io_, [this, key = std::pair(address.ip, address.port), use] {
      use(proxies_.at(key).get());
    });
  }

  [[nodiscard]] std::vector<TimeSpan> Stalls() const {
    const std::lock_guard lock(mutex_);
    std::vector<TimeSpan> stalls = stalls_;
    const RunTime now = clock_.Now();
    if (now - due_ >= kStallLimit) {
      // The current stall has not ended yet.
      stalls.push_back({due_, now});
    }
    return stalls;
  }

 private:
  asio::awaitable<void> WatchStalls() {
    for (;;) {
      co_await Sleep(kHoldPoll);
      const std::lock_guard lock(mutex_);
      const RunTime now = clock_.Now();
      if (now - due_ >= kStallLimit) {
        stalls_.push_back({due_, now});
      }
      due_ = now + kHoldPoll;
    }
  }

  const RunClock& clock_;
  mutable std::mutex mutex_;
  /// When `WatchStalls` should run next.
  RunTime due_{0};
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
  impl_->With(proxy, [fault](Proxy* it) { it->SetFault(fault); });
}

std::vector<TimeSpan> ProxySet::Stalls() const {
  return impl_->Stalls();
}

void ProxySet::Reset(const Address& proxy) {
  impl_->With(proxy, [](Proxy* it) { it->Reset(); });
}

}  // namespace cassiabend::soak
