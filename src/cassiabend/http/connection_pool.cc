#include "cassiabend/http/connection_pool.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cassiabend {
namespace {

/// How long before the peer closes an idle connection it is no longer reused,
/// so that no request crosses the close.
constexpr Milliseconds kIdleMargin{750};
/// Idle time of connections to an endpoint that has reset one. Each further
/// reset halves it down to the lower bound. Busy connections are reused sooner.
constexpr Milliseconds kFirstIdleLimit{500};
constexpr Milliseconds kMinIdleLimit{50};
/// How long after the last reset the shortened idle time applies.
constexpr Milliseconds kIdleLimitTime{30'000};
/// Refused requests that a connection remembers; it is not pooled with more.
constexpr std::size_t kMaxRefused = 16;
/// Number of endpoints at which expired entries are removed, as hosts come and
/// go.
constexpr std::size_t kMaxIdleLimits = 1'024;

}  // namespace

/// \brief A connection in the pool. Any message, its end or its timeout removes
/// it.
class ConnectionPool::IdleConnection final : public ConnectionListener {
 public:
  IdleConnection(ConnectionPool* pool, const Endpoint& endpoint)
      : pool_(pool), endpoint_(endpoint) {}
  IdleConnection(const IdleConnection&) = delete;
  IdleConnection& operator=(const IdleConnection&) = delete;
  ~IdleConnection() override {
    if (connection_ != nullptr) {
      connection_->Close();
    }
  }

  [[nodiscard]] const Endpoint& endpoint() const noexcept { return endpoint_; }
  [[nodiscard]] bool connected() const noexcept { return is_connected_; }
  [[nodiscard]] bool HasRefused(const std::string& request_id) const {
    return !request_id.empty() &&
           std::ranges::count(connection_->refused(), request_id) != 0;
  }

  /// \brief Keeps an open connection for `limit`.
  void Hold(RefPtr<Connection> connection, Milliseconds limit) {
    connection_ = std::move(connection);
    is_connected_ = true;
    connection_->set_listener(this);
    connection_->SetTimeout(limit);
  }
  /// \brief Keeps a connection that is being opened.
  void HoldConnecting(RefPtr<Connection> connection) {
    connection_ = std::move(connection);
  }

  [[nodiscard]] RefPtr<Connection> Release() {
    connection_->set_listener(nullptr);
    connection_->ClearTimeout();
    return std::move(connection_);
  }

  void OnConnected() override {
    is_connected_ = true;
    connection_->SetTimeout(pool_->options_.idle_timeout);
  }
  void OnHead(MessageHead& /*head*/) override { pool_->Remove(this); }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnMessageEnd() override {}
  void OnDrained() override {}
  void OnEnd(ConnectionEnd /*end*/) override { pool_->Remove(this); }

 private:
  ConnectionPool* pool_;
  Endpoint endpoint_;
  RefPtr<Connection> connection_;
  bool is_connected_ = false;
};

ConnectionPool::ConnectionPool(boost::asio::io_context& io,
                               const Clock& clock,
                               TimeoutList* timeouts,
                               const PoolOptions& options)
    : io_(io), clock_(clock), timeouts_(timeouts), options_(options) {}

ConnectionPool::~ConnectionPool() = default;

RefPtr<Connection> ConnectionPool::AcquireIdle(const Endpoint& endpoint,
                                               const std::string& request_id) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return nullptr;
  }
  IdleList& list = found->second;
  for (std::size_t i = list.size(); i > 0; --i) {
    if (!list[i - 1]->connected() || list[i - 1]->HasRefused(request_id)) {
      continue;
    }
    RefPtr<Connection> connection = list[i - 1]->Release();
    list.erase(list.begin() + static_cast<std::ptrdiff_t>(i - 1));
    if (connection->IsAlive()) {
      connection->ResetSent();
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

RefPtr<Connection> ConnectionPool::Connect(const Endpoint& endpoint,
                                           ConnectionListener* listener) {
  RefPtr<Connection> connection = NewConnection();
  connection->set_listener(listener);
  connection->Connect(endpoint, options_.connect_timeout);
  return connection;
}

void ConnectionPool::AddIdle(const Endpoint& endpoint,
                             RefPtr<Connection> connection,
                             std::optional<Milliseconds> idle_limit) {
  IdleList& list = idle_[endpoint];
  const Milliseconds limit = std::min(
      {options_.idle_timeout, IdleLimitOf(endpoint),
       idle_limit.value_or(options_.idle_timeout + kIdleMargin) - kIdleMargin});
  if (list.size() >= options_.idle_connections || limit <= Milliseconds(0) ||
      connection->refused().size() > kMaxRefused) {
    connection->Close();
    return;
  }
  auto idle = std::make_unique<IdleConnection>(this, endpoint);
  idle->Hold(std::move(connection), limit);
  list.push_back(std::move(idle));
}

void ConnectionPool::SetMaxHeaderBytes(std::uint32_t max_header_bytes) {
  if (max_header_bytes == options_.max_header_bytes) {
    return;
  }
  options_.max_header_bytes = max_header_bytes;
  Close();
}

void ConnectionPool::Preconnect(const Endpoint& endpoint, std::uint32_t n) {
  IdleList& list = idle_[endpoint];
  while (list.size() < std::min(n, options_.idle_connections)) {
    auto idle = std::make_unique<IdleConnection>(this, endpoint);
    idle->HoldConnecting(Connect(endpoint, idle.get()));
    list.push_back(std::move(idle));
  }
}

void ConnectionPool::HandleIdleReset(const Endpoint& endpoint) {
  idle_.erase(endpoint);
  const MonoTime now = clock_.Now().mono;
  if (idle_limits_.size() >= kMaxIdleLimits) {
    std::erase_if(idle_limits_,
                  [now](const auto& it) { return it.second.until <= now; });
  }
  IdleLimit& shortened = idle_limits_[endpoint];
  shortened.limit = now < shortened.until
                        ? std::max(shortened.limit / 2, kMinIdleLimit)
                        : kFirstIdleLimit;
  shortened.until = now + kIdleLimitTime;
}

Milliseconds ConnectionPool::IdleLimitOf(const Endpoint& endpoint) const {
  const auto found = idle_limits_.find(endpoint);
  const bool holds =
      found != idle_limits_.end() && clock_.Now().mono < found->second.until;
  return holds ? found->second.limit : options_.idle_timeout;
}

void ConnectionPool::CloseIdle(const Endpoint& endpoint) {
  idle_.erase(endpoint);
}

void ConnectionPool::Close() {
  idle_.clear();
}

void ConnectionPool::Remove(const IdleConnection* idle) {
  const auto found = idle_.find(idle->endpoint());
  if (found == idle_.end()) {
    return;
  }
  std::erase_if(found->second,
                [idle](const std::unique_ptr<IdleConnection>& it) {
                  return it.get() == idle;
                });
}

RefPtr<Connection> ConnectionPool::NewConnection() {
  return RefPtr<Connection>(
      new Connection(Connection::Socket(io_), timeouts_, MessageKind::kResponse,
                     ParseLimits{.header_bytes = options_.max_header_bytes}));
}

}  // namespace cassiabend
