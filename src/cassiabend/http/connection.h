#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/http/message.h"
#include "cassiabend/http/message_parser.h"
#include "cassiabend/http/timeout_list.h"

namespace cassiabend {

/// \brief Why a connection ended.
enum class ConnectionEnd : std::uint8_t {
  kConnectFailed,
  /// The peer closed it between messages.
  kClosed,
  /// The connection broke, or was closed within a message.
  kBroken,
  kTimeout,
  /// A message was malformed or too large; see `Connection::parse_error()`.
  kBadMessage,
};

/// \brief Receives the events of a connection. `OnEnd` is the last call and the
/// connection is then closed, except after `kBadMessage`: the connection can
/// still be written to, and a listener that is set again receives those events.
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
  /// \brief The message is complete; `NextMessage` starts the next one.
  virtual void OnMessageEnd() = 0;
  /// \brief Some of the flushed bytes were written to the socket.
  virtual void OnWriteProgress() {}
  /// \brief All flushed bytes were written to the socket.
  virtual void OnDrained() = 0;
  virtual void OnEnd(ConnectionEnd end) = 0;
};

/// \brief One TCP connection that carries HTTP messages. Unless reading is
/// paused or its buffer is full, a read is outstanding, so that a close by the
/// peer is noticed at once.
class Connection final : public RefCounted<Connection>, private TimeoutEntry {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  Connection(Socket socket,
             TimeoutList* timeouts,
             MessageKind kind,
             const ParseLimits& limits);

  [[nodiscard]] bool is_open() const noexcept { return socket_.is_open(); }
  /// \brief Bytes of the output that are not yet written to the socket.
  [[nodiscard]] std::size_t unwritten() const noexcept;
  /// \brief Whether a byte was, or may have been, written to the socket since
  /// `ResetSent`.
  [[nodiscard]] bool MayHaveSent() const noexcept {
    return sent_bytes_ != 0 || is_writing_;
  }
  /// \brief Whether a message has begun to arrive.
  [[nodiscard]] bool HasInput() const noexcept;
  [[nodiscard]] ParseError parse_error() const noexcept {
    return parser_.error();
  }
  /// \brief Whether an idle connection is open and nothing has arrived on it.
  [[nodiscard]] bool IsAlive();

  void set_listener(ConnectionListener* listener) noexcept {
    listener_ = listener;
  }
  /// \brief Opens the connection and starts to read; ends in `OnConnected` or
  /// `OnEnd`.
  void Connect(const Endpoint& endpoint, Milliseconds timeout);
  /// \brief Starts to read messages.
  void Start();
  /// \brief Sets the limits of the messages that have not begun to arrive.
  void SetLimits(const ParseLimits& limits);
  /// \brief Starts to read the next message. Not to be called from `OnHead` or
  /// `OnBody`.
  /// \param skip_body Whether the message has no body whatever its head says,
  /// as the response to HEAD.
  void NextMessage(bool skip_body);
  /// \brief Notes that the peer has refused a request on this connection.
  void AddRefused(const std::string& request) { refused_.push_back(request); }
  [[nodiscard]] const std::vector<std::string>& refused() const noexcept {
    return refused_;
  }
  /// \brief Restarts `MayHaveSent` for the next use of the connection.
  void ResetSent() noexcept { sent_bytes_ = 0; }
  void PauseReading() noexcept { is_paused_ = true; }
  void ResumeReading();

  /// \brief Buffer of bytes to write; `Flush` starts to write them.
  [[nodiscard]] std::string* output() noexcept { return &pending_; }
  void Flush();

  void SetTimeout(Milliseconds timeout) noexcept {
    timeouts_->SetTimeout(this, timeout);
  }
  void ClearTimeout() noexcept { TimeoutList::ClearTimeout(this); }

  /// \brief Closes at once; the listener is not called any more.
  void Close() noexcept;
  /// \brief Closes once everything is written, while reading and dropping what
  /// the peer still sends: closing with unread bytes would reset the connection
  /// and could lose the answer.
  void CloseAfterWrite();

 private:
  void OnTimeout() override;
  /// \brief Runs a handler. An exception in it ends this connection, and with
  /// it the exchange that it serves, but nothing else.
  template <typename Func>
  void Guard(Func&& func) noexcept;
  [[nodiscard]] std::size_t MaxUnread() const noexcept;
  void Read();
  void MakeRoom();
  void OnConnected(const boost::system::error_code& ec);
  void OnRead(const boost::system::error_code& ec);
  void OnReadError(const boost::system::error_code& ec);
  void Parse();
  [[nodiscard]] bool ParseStep();
  void Write();
  void OnWritten(const boost::system::error_code& ec, std::size_t n);
  void OnAllWritten();
  void End(ConnectionEnd end);

  Socket socket_;
  TimeoutList* timeouts_;
  ConnectionListener* listener_ = nullptr;
  MessageParser parser_;
  /// Most bytes that may wait for the parser: it needs a whole head at once.
  std::size_t max_head_bytes_;
  std::size_t next_read_bytes_;
  /// Bytes read from the socket: those before `parsed_` are parsed, and those
  /// from `filled_` on are space for the outstanding read.
  std::string input_;
  std::size_t filled_ = 0;
  std::size_t parsed_ = 0;
  std::string body_;
  /// Bytes being written; those to write after them are in `pending_`.
  std::string writing_;
  std::size_t written_ = 0;
  std::string pending_;
  std::uint64_t sent_bytes_ = 0;
  /// Ids of the requests that the peer has refused on this connection.
  std::vector<std::string> refused_;
  bool is_connected_ = true;
  bool is_reading_ = false;
  bool is_paused_ = false;
  bool is_parsing_ = false;
  bool is_writing_ = false;
  bool is_message_done_ = false;
  bool is_closing_ = false;
};

}  // namespace cassiabend
