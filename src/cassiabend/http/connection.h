#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/http/message.h"
#include "cassiabend/http/message_parser.h"
#include "cassiabend/http/tick_list.h"

namespace cassiabend {

/// \brief Why a connection is of no more use.
enum class ConnectionEnd : std::uint8_t {
  kConnectFailed,
  /// The other end closed between messages.
  kClosed,
  /// The connection broke, or was closed within a message.
  kBroken,
  kTimeout,
  /// What arrived is not HTTP; see `Connection::parse_error()`.
  kBadMessage,
};

/// \brief Takes what happens on a connection. After `OnEnd` no more calls come
/// and the connection is closed, except after `kBadMessage`: it can still be
/// written to, and a listener that is set again hears of that.
class ConnectionListener {
 public:
  ConnectionListener() = default;
  ConnectionListener(const ConnectionListener&) = delete;
  ConnectionListener& operator=(const ConnectionListener&) = delete;
  virtual ~ConnectionListener() = default;

  virtual void OnConnected() {}
  /// \brief The first bytes of a message arrived.
  virtual void OnMessageStart() {}
  virtual void OnHead(MessageHead& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  /// \brief The message is whole; `NextMessage` starts the next one.
  virtual void OnMessageEnd() = 0;
  /// \brief Some of the bytes handed over were written to the socket.
  virtual void OnWriteProgress() {}
  /// \brief All bytes handed over were written to the socket.
  virtual void OnDrained() = 0;
  virtual void OnEnd(ConnectionEnd end) = 0;
};

/// \brief One TCP connection that carries HTTP messages. A read is outstanding
/// at most times, so that the other end's closing is seen at once.
class Connection final : public RefCounted<Connection>, private TickEntry {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  Connection(Socket socket,
             TickList* ticks,
             MessageKind reads,
             const ParseLimits& limits);

  [[nodiscard]] bool is_open() const noexcept { return socket_.is_open(); }
  /// \brief Bytes handed over that are not yet written.
  [[nodiscard]] std::size_t unwritten() const noexcept;
  /// \brief Whether a byte was, or may have been, written to the socket.
  [[nodiscard]] bool MayHaveSent() const noexcept {
    return sent_bytes_ != 0 || is_writing_;
  }
  /// \brief Whether a message has begun to arrive.
  [[nodiscard]] bool HasInput() const noexcept;
  [[nodiscard]] ParseError parse_error() const noexcept {
    return parser_.error();
  }
  /// \brief Whether the other end still holds an idle connection open.
  [[nodiscard]] bool IsAlive();

  void set_listener(ConnectionListener* listener) noexcept {
    listener_ = listener;
  }
  void Connect(const Endpoint& endpoint, Milliseconds timeout);
  /// \brief Starts to read messages.
  void Start();
  /// \brief Goes on to the next message. Not to be called from a callback that
  /// hands over a message's content.
  void NextMessage(bool skip_body);
  /// \brief Counts written bytes anew, as on a connection's next use.
  void ResetSent() noexcept { sent_bytes_ = 0; }
  void PauseReading() noexcept { is_paused_ = true; }
  void ResumeReading();

  /// \brief Buffer for bytes to write; `Flush` hands them to the socket.
  [[nodiscard]] std::string* output() noexcept { return &pending_; }
  void Flush();

  void SetTimeout(Milliseconds timeout) noexcept {
    ticks_->SetTimeout(this, timeout);
  }
  void ClearTimeout() noexcept { TickList::ClearTimeout(this); }

  /// \brief Closes at once; the listener hears nothing more.
  void Close() noexcept;
  /// \brief Closes once everything is written, for errors told to a sender
  /// that may still be sending.
  void CloseAfterWrite();

 private:
  void OnTimeout() override { End(ConnectionEnd::kTimeout); }
  void Read();
  void MakeRoom();
  void OnRead(const boost::system::error_code& ec);
  void OnReadError(const boost::system::error_code& ec);
  void Parse();
  [[nodiscard]] bool ParseStep();
  void Write();
  void OnWritten(const boost::system::error_code& ec, std::size_t n);
  void OnAllWritten();
  void End(ConnectionEnd end);

  Socket socket_;
  TickList* ticks_;
  ConnectionListener* listener_ = nullptr;
  MessageParser parser_;
  std::size_t max_unread_;
  std::size_t read_bytes_;
  /// Bytes read from the socket: those before `parsed_` are used, and those
  /// from `filled_` on are room for the read that is outstanding.
  std::string input_;
  std::size_t filled_ = 0;
  std::size_t parsed_ = 0;
  std::string body_;
  /// Bytes being written, and those to write after them.
  std::string writing_;
  std::size_t written_ = 0;
  std::string pending_;
  std::uint64_t sent_bytes_ = 0;
  bool is_connected_ = true;
  bool is_reading_ = false;
  bool is_paused_ = false;
  bool is_parsing_ = false;
  bool is_writing_ = false;
  bool is_message_done_ = false;
  bool is_closing_ = false;
};

}  // namespace cassiabend
