#include "cassiabend/store/gateway_pool.h"

#include <utility>

namespace cassiabend {

using boost::asio::ip::tcp;

ConnectionPtr GatewayPool::Acquire(const tcp::endpoint& endpoint,
                                   bool* reused) {
  std::erase_if(idle_, [](const ConnectionPtr& it) {
    const bool usable = it->IsReusable();
    if (!usable) {
      it->Close();
    }
    return !usable;
  });
  for (auto it = idle_.begin(); it != idle_.end(); ++it) {
    if ((*it)->endpoint() != endpoint) {
      continue;
    }
    ConnectionPtr connection = std::move(*it);
    idle_.erase(it);
    *reused = true;
    return connection;
  }
  *reused = false;
  return CreateConnection(endpoint);
}

ConnectionPtr GatewayPool::CreateConnection(const tcp::endpoint& endpoint) {
  ConnectionPtr connection = GatewayConnection::Create(io_, endpoint);
  std::erase_if(open_, [](const auto& it) { return it.expired(); });
  open_.push_back(connection);
  return connection;
}

void GatewayPool::Release(ConnectionPtr connection) {
  if (idle_.size() < max_idle_) {
    idle_.push_back(std::move(connection));
    return;
  }
  connection->Close();
}

void GatewayPool::CloseIdle(const tcp::endpoint& endpoint) {
  std::erase_if(idle_, [&](const ConnectionPtr& it) {
    if (it->endpoint() != endpoint) {
      return false;
    }
    it->Close();
    return true;
  });
}

void GatewayPool::Close() {
  max_idle_ = 0;
  idle_.clear();
  for (const std::weak_ptr<GatewayConnection>& it : open_) {
    if (const ConnectionPtr connection = it.lock()) {
      connection->Close();
    }
  }
}

}  // namespace cassiabend
