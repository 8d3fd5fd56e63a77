#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cassiabend {

/// \brief Runs `io` until `condition` returns true, for at most 30 s.
/// \returns Whether `condition` returned true.
inline bool RunUntil(boost::asio::io_context& io,
                     const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kLimit{30};
  constexpr std::chrono::milliseconds kStep{50};
  const auto end = std::chrono::steady_clock::now() + kLimit;
  io.restart();
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    io.run_one_for(kStep);
  }
  return true;
}

/// \brief One end of a TCP connection that sends and records plain bytes.
class RawPeer : public std::enable_shared_from_this<RawPeer> {
 public:
  using Tcp = boost::asio::ip::tcp;

  explicit RawPeer(Tcp::socket socket) : socket_(std::move(socket)) {}

  [[nodiscard]] static std::shared_ptr<RawPeer> Connect(
      boost::asio::io_context& io,
      std::uint16_t port) {
    Tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    auto peer = std::make_shared<RawPeer>(std::move(socket));
    peer->Read();
    return peer;
  }

  [[nodiscard]] const std::string& received() const { return received_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] bool Has(const std::string& text) const {
    return received_.find(text) != std::string::npos;
  }

  void Send(const std::string& text) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(text), ignored);
  }
  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [self = shared_from_this()](const boost::system::error_code& ec,
                                    std::size_t n) {
          self->received_.append(self->buffer_.data(), n);
          self->closed_ = self->closed_ || ec;
          if (!ec && !self->paused_) {
            self->Read();
          }
        });
  }
  void Pause() { paused_ = true; }
  void Resume() {
    paused_ = false;
    Read();
  }
  void Clear() { received_.clear(); }
  void Close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

 private:
  Tcp::socket socket_;
  std::array<char, 16384> buffer_{};
  std::string received_;
  bool closed_ = false;
  bool paused_ = false;
};

/// \brief Accepts connections on a free loopback port; the test scripts each
/// one through its `RawPeer`.
class RawServer {
 public:
  explicit RawServer(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }
  [[nodiscard]] std::vector<std::shared_ptr<RawPeer>>& peers() {
    return peers_;
  }
  void Stop() { acceptor_.close(); }

 private:
  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& ec,
                                  RawPeer::Tcp::socket socket) {
      if (ec) {
        return;
      }
      peers_.push_back(std::make_shared<RawPeer>(std::move(socket)));
      peers_.back()->Read();
      Accept();
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<RawPeer>> peers_;
};

}  // namespace cassiabend
