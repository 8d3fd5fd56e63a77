#include "cassiabend/http/connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <cstring>
#include <utility>

#include "cassiabend/base/guard.h"
#include "cassiabend/base/socket_options.h"

namespace cassiabend {
namespace {

using boost::system::error_code;

/// Size of the first read of a message; each read that fills its buffer doubles
/// it up to the limit.
constexpr std::size_t kFirstReadBytes = std::size_t{4} * 1024;
constexpr std::size_t kMaxReadBytes = std::size_t{64} * 1024;
/// Most bytes that are read ahead of the message being handled.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{64} * 1024;
/// An output buffer larger than this is freed when it is empty.
constexpr std::size_t kMaxKeptOutputBytes = std::size_t{64} * 1024;
/// How long a refused peer may go on sending before the connection is closed.
constexpr Milliseconds kLingerTimeout{1'000};
/// Incoming connections: the kernel detects a vanished peer within 13 s.
constexpr DeadPeerDetection kIncomingLoss{};
/// Outgoing connections, whose loss is detected sooner: calls wait on them, and
/// idle ones are reused. Sent data may need some retransmissions on a lossy
/// network.
constexpr DeadPeerDetection kOutgoingLoss{.idle = Seconds(1),
                                          .interval = Seconds(1),
                                          .probes = 2,
                                          .user_timeout = Milliseconds(1'000)};

void ConfigureSocket(boost::asio::ip::tcp::socket* socket,
                     const DeadPeerDetection& detection) {
  error_code ignored;
  socket->non_blocking(true, ignored);
  SetSocketOptions(socket->native_handle(), detection);
}

}  // namespace

Connection::Connection(Socket socket,
                       TimeoutList* timeouts,
                       MessageKind kind,
                       const ParseLimits& limits)
    : socket_(std::move(socket)),
      timeouts_(timeouts),
      parser_(kind, limits),
      max_head_bytes_(limits.header_bytes + kFirstReadBytes),
      next_read_bytes_(kFirstReadBytes) {
  timeouts_->Add(this);
  if (socket_.is_open()) {
    ConfigureSocket(&socket_, kIncomingLoss);
  }
}

template <typename Func>
void Connection::Guard(Func&& func) noexcept {
  const RefPtr<Connection> keep(this);
  if (RunGuarded("connection", func)) {
    return;
  }
  is_parsing_ = false;
  RunGuarded("connection_end", [this] { End(ConnectionEnd::kBroken); });
  Close();
}

void Connection::OnTimeout() {
  Guard([this] { End(ConnectionEnd::kTimeout); });
}

void Connection::SetLimits(const ParseLimits& limits) {
  max_head_bytes_ = limits.header_bytes + kFirstReadBytes;
  parser_.SetLimits(limits);
}

std::size_t Connection::MaxUnread() const noexcept {
  return is_message_done_ ? std::min(max_head_bytes_, kMaxReadAheadBytes)
                          : max_head_bytes_;
}

std::size_t Connection::unwritten() const noexcept {
  return writing_.size() - written_ + pending_.size();
}

bool Connection::HasInput() const noexcept {
  return parser_.started() || parsed_ < filled_;
}

bool Connection::IsAlive() {
  if (!socket_.is_open() || HasInput()) {
    return false;
  }
  char byte = 0;
  const ssize_t n =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Connection::Connect(const Endpoint& endpoint, Milliseconds timeout) {
  is_connected_ = false;
  SetTimeout(timeout);
  error_code open_error;
  socket_.open(endpoint.protocol(), open_error);
  socket_.async_connect(
      endpoint, [self = RefPtr<Connection>(this)](const error_code& ec) {
        if (!self->socket_.is_open() || self->listener_ == nullptr) {
          return;
        }
        self->Guard([&] { self->OnConnected(ec); });
      });
}

void Connection::OnConnected(const error_code& ec) {
  if (ec) {
    End(ConnectionEnd::kConnectFailed);
    return;
  }
  is_connected_ = true;
  ClearTimeout();
  ConfigureSocket(&socket_, kOutgoingLoss);
  listener_->OnConnected();
  Start();
}

void Connection::Start() {
  Read();
}

void Connection::NextMessage(bool skip_body) {
  parser_.Reset(skip_body);
  is_message_done_ = false;
  next_read_bytes_ = kFirstReadBytes;
  Parse();
  Read();
}

void Connection::ResumeReading() {
  if (!is_paused_) {
    return;
  }
  is_paused_ = false;
  Parse();
  Read();
}

void Connection::Read() {
  if (is_reading_ || is_paused_ || !is_connected_ || !socket_.is_open() ||
      filled_ - parsed_ >= MaxUnread()) {
    return;
  }
  is_reading_ = true;
  MakeRoom();
  socket_.async_read_some(
      boost::asio::buffer(input_.data() + filled_, next_read_bytes_),
      [self = RefPtr<Connection>(this), wanted = next_read_bytes_](
          const error_code& ec, std::size_t n) {
        self->is_reading_ = false;
        self->filled_ += n;
        if (n == wanted) {
          self->next_read_bytes_ = std::min(wanted * 2, kMaxReadBytes);
        }
        self->Guard([&] { self->OnRead(ec); });
      });
}

/// \brief Makes space for one read after the unparsed bytes, and frees what a
/// larger message needed.
void Connection::MakeRoom() {
  const std::size_t unread = filled_ - parsed_;
  std::memmove(input_.data(), input_.data() + parsed_, unread);
  filled_ = unread;
  parsed_ = 0;
  const std::size_t wanted = filled_ + next_read_bytes_;
  if (input_.size() < wanted) {
    input_.resize(wanted);
  } else if (input_.size() > wanted + kMaxReadBytes / 2) {
    input_.resize(wanted);
    input_.shrink_to_fit();
  }
}

void Connection::OnRead(const error_code& ec) {
  if (!socket_.is_open()) {
    return;
  }
  if (is_closing_) {
    // What the peer still sends is dropped until it closes.
    parsed_ = filled_;
    if (ec) {
      Close();
      return;
    }
    Read();
    return;
  }
  if (ec) {
    OnReadError(ec);
    return;
  }
  Parse();
  Read();
}

void Connection::OnReadError(const error_code& ec) {
  const bool is_whole =
      ec == boost::asio::error::eof && !is_message_done_ && parser_.PutEnd();
  if (is_whole) {
    is_message_done_ = true;
    listener_->OnMessageEnd();
    return;
  }
  const bool is_between = is_message_done_ || !parser_.started();
  End(is_between && ec == boost::asio::error::eof ? ConnectionEnd::kClosed
                                                  : ConnectionEnd::kBroken);
}

void Connection::Parse() {
  if (is_parsing_) {
    return;
  }
  is_parsing_ = true;
  const RefPtr<Connection> keep(this);
  while (ParseStep()) {
  }
  is_parsing_ = false;
}

/// \brief Handles one piece of a message.
/// \returns Whether there may be another.
bool Connection::ParseStep() {
  if (!socket_.is_open() || listener_ == nullptr || is_paused_ ||
      is_message_done_ || is_closing_ || parser_.error() != ParseError::kNone) {
    return false;
  }
  const std::string_view unread(input_.data() + parsed_, filled_ - parsed_);
  if (!parser_.started() && !unread.empty()) {
    listener_->OnMessageStart();
  }
  const bool had_head = parser_.head_done();
  body_.clear();
  const std::size_t n = parser_.Put(unread, &body_);
  parsed_ += n;
  if (parser_.error() != ParseError::kNone) {
    End(ConnectionEnd::kBadMessage);
    return false;
  }
  if (!had_head && parser_.head_done()) {
    listener_->OnHead(parser_.head());
  }
  if (!body_.empty() && listener_ != nullptr) {
    listener_->OnBody(body_);
  }
  if (parser_.done() && listener_ != nullptr) {
    is_message_done_ = true;
    listener_->OnMessageEnd();
  }
  return n != 0;
}

void Connection::Flush() {
  if (is_writing_ || pending_.empty() || !socket_.is_open()) {
    return;
  }
  writing_.swap(pending_);
  written_ = 0;
  Write();
}

void Connection::Write() {
  is_writing_ = true;
  socket_.async_write_some(
      boost::asio::buffer(writing_.data() + written_,
                          writing_.size() - written_),
      [self = RefPtr<Connection>(this)](const error_code& ec, std::size_t n) {
        self->is_writing_ = false;
        self->Guard([&] { self->OnWritten(ec, n); });
      });
}

void Connection::OnWritten(const error_code& ec, std::size_t n) {
  sent_bytes_ += n;
  written_ += n;
  if (!socket_.is_open()) {
    return;
  }
  if (ec) {
    End(ConnectionEnd::kBroken);
    return;
  }
  if (written_ < writing_.size()) {
    if (listener_ != nullptr) {
      listener_->OnWriteProgress();
    }
    Write();
    return;
  }
  if (writing_.capacity() > kMaxKeptOutputBytes) {
    std::string().swap(writing_);
  }
  writing_.clear();
  written_ = 0;
  if (!pending_.empty()) {
    Flush();
    return;
  }
  OnAllWritten();
}

void Connection::OnAllWritten() {
  if (is_closing_) {
    error_code ignored;
    socket_.shutdown(Socket::shutdown_send, ignored);
    SetTimeout(kLingerTimeout);
    return;
  }
  if (listener_ != nullptr) {
    listener_->OnDrained();
  }
}

void Connection::Close() noexcept {
  listener_ = nullptr;
  ClearTimeout();
  error_code ignored;
  socket_.close(ignored);
}

void Connection::CloseAfterWrite() {
  listener_ = nullptr;
  is_closing_ = true;
  is_paused_ = false;
  SetTimeout(kLingerTimeout);
  if (unwritten() == 0) {
    OnAllWritten();
  }
  Flush();
  Read();
}

void Connection::End(ConnectionEnd end) {
  const RefPtr<Connection> keep(this);
  ConnectionListener* listener = std::exchange(listener_, nullptr);
  ClearTimeout();
  if (end != ConnectionEnd::kBadMessage) {
    error_code ignored;
    socket_.close(ignored);
  }
  if (listener != nullptr) {
    listener->OnEnd(end);
  }
}

}  // namespace cassiabend
