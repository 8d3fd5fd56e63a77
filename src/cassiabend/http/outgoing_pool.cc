#include "cassiabend/http/outgoing_pool.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cassiabend {

/// \brief A connection that waits in the pool; anything that arrives on it, its
/// end or its timeout removes it.
class OutgoingPool::Idle final : public ConnectionListener {
 public:
  Idle(OutgoingPool* pool, const Endpoint& endpoint)
      : pool_(pool), endpoint_(endpoint) {}
  Idle(const Idle&) = delete;
  Idle& operator=(const Idle&) = delete;
  ~Idle() override {
    if (connection_ != nullptr) {
      connection_->Close();
    }
  }

  [[nodiscard]] const Endpoint& endpoint() const noexcept { return endpoint_; }
  [[nodiscard]] bool connected() const noexcept { return is_connected_; }

  void Hold(RefPtr<Connection> connection, bool is_connected) {
    connection_ = std::move(connection);
    is_connected_ = is_connected;
    if (is_connected_) {
      connection_->set_listener(this);
      connection_->SetTimeout(pool_->options_.idle_timeout);
    }
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
  OutgoingPool* pool_;
  Endpoint endpoint_;
  RefPtr<Connection> connection_;
  bool is_connected_ = false;
};

OutgoingPool::OutgoingPool(boost::asio::io_context& io,
                           TickList* ticks,
                           const PoolOptions& options)
    : io_(io), ticks_(ticks), options_(options) {}

OutgoingPool::~OutgoingPool() = default;

RefPtr<Connection> OutgoingPool::TakeIdle(const Endpoint& endpoint) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return nullptr;
  }
  IdleList& list = found->second;
  for (std::size_t i = list.size(); i > 0; --i) {
    if (!list[i - 1]->connected()) {
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

RefPtr<Connection> OutgoingPool::Connect(const Endpoint& endpoint,
                                         ConnectionListener* listener) {
  RefPtr<Connection> connection = NewConnection();
  connection->set_listener(listener);
  connection->Connect(endpoint, options_.connect_timeout);
  return connection;
}

void OutgoingPool::Put(const Endpoint& endpoint,
                       RefPtr<Connection> connection) {
  IdleList& list = idle_[endpoint];
  if (list.size() >= options_.idle_connections) {
    connection->Close();
    return;
  }
  auto idle = std::make_unique<Idle>(this, endpoint);
  idle->Hold(std::move(connection), true);
  list.push_back(std::move(idle));
}

void OutgoingPool::Prepare(const Endpoint& endpoint, std::uint32_t n) {
  IdleList& list = idle_[endpoint];
  while (list.size() < std::min(n, options_.idle_connections)) {
    auto idle = std::make_unique<Idle>(this, endpoint);
    idle->Hold(Connect(endpoint, idle.get()), false);
    list.push_back(std::move(idle));
  }
}

void OutgoingPool::Drop(const Endpoint& endpoint) {
  idle_.erase(endpoint);
}

void OutgoingPool::Close() {
  idle_.clear();
}

void OutgoingPool::Remove(const Idle* idle) {
  const auto found = idle_.find(idle->endpoint());
  if (found == idle_.end()) {
    return;
  }
  std::erase_if(found->second, [idle](const std::unique_ptr<Idle>& it) {
    return it.get() == idle;
  });
}

RefPtr<Connection> OutgoingPool::NewConnection() {
  return RefPtr<Connection>(
      new Connection(Connection::Socket(io_), ticks_, MessageKind::kResponse,
                     ParseLimits{.header_bytes = options_.max_header_bytes}));
}

}  // namespace cassiabend
