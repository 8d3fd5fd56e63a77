#include "tools/fake_store_session.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "tools/fake_store_gateway_protocol.h"

namespace cassiabend {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxRequestBytes = std::size_t{4} * 1024 * 1024;
constexpr unsigned kHttpVersion = 11;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kGone = 410;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

class Session final : public FakeStoreSession,
                      public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<FakeStoreShared> shared)
      : stream_(std::move(socket)),
        timer_(stream_.get_executor()),
        shared_(std::move(shared)),
        connection_number_(shared_->backend.NextConnection()) {
    shared_->sessions.insert(this);
  }
  ~Session() override { shared_->sessions.erase(this); }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxRequestBytes);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t n) {
                       self->OnRead(ec, n);
                     });
  }

  void SendEvents() override {
    const FakeStoreFaults& faults = shared_->backend.faults();
    if (connection_number_ < faults.close_before && !is_control_) {
      Close();
      return;
    }
    if (!watch_ || writing_ || faults.dead_watches ||
        connection_number_ < faults.silent_before) {
      return;
    }
    const std::vector<FakeStoreEvent> events = WatchedEvents();
    if (watch_->wait) {
      if (!events.empty()) {
        ReplyToWatch(events);
      }
      return;
    }
    for (const FakeStoreEvent& it : events) {
      SendChunk(EventMessage(it));
    }
    watch_->from =
        std::max(watch_->from, shared_->backend.state().revision() + 1);
  }

  void Close() override {
    timer_.cancel();
    stream_.close();
  }

 private:
  void OnRead(error_code ec, std::size_t n) {
    if (ec) {
      Close();
      return;
    }
    shared_->backend.counts().bytes_received += n;
    request_ = parser_->release();
    const std::string path(request_.target());
    if (path.rfind("/control", 0) == 0) {
      Send(Control(path));
      return;
    }
    if (connection_number_ < shared_->backend.faults().silent_before) {
      WaitForClose();
      return;
    }
    call_ = {std::string(request_.method_string()), path, request_.body()};
    protocol_ = shared_->backend.FindProtocol(path);
    if (protocol_ == nullptr) {
      Send(MakeErrorReply(kNotFound, "no such path"));
      return;
    }
    if (const std::optional<FakeStoreRefusal> refusal =
            RefusalForLocalAddress()) {
      Refuse(*refusal);
      return;
    }
    if (std::optional<FakeStoreReply> refusal = shared_->backend.CheckAdmission(
            *protocol_, call_, shared_->clock.Now().mono)) {
      Send(*refusal);
      return;
    }
    const Milliseconds slow = shared_->backend.faults().slow;
    if (slow <= Milliseconds(0)) {
      Execute();
      return;
    }
    timer_.expires_after(slow);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->Execute();
      }
    });
  }

  /// \returns The refusal set for the local address of this connection.
  [[nodiscard]] std::optional<FakeStoreRefusal> RefusalForLocalAddress() const {
    error_code ec;
    const tcp::endpoint local = stream_.socket().local_endpoint(ec);
    const auto& refusals = shared_->backend.faults().refusals;
    const auto it = refusals.find(local.address().to_string());
    return it == refusals.end() ? std::nullopt : std::optional(it->second);
  }

  void Refuse(FakeStoreRefusal refusal) {
    switch (refusal) {
      case FakeStoreRefusal::kUnavailable:
        Send(MakeErrorReply(kServiceUnavailable, "refused"));
        return;
      case FakeStoreRefusal::kTooMany:
        Send(MakeErrorReply(kTooManyRequests, "refused"));
        return;
      case FakeStoreRefusal::kReset:
        Reset();
        return;
      case FakeStoreRefusal::kSilence:
        WaitForClose();
        return;
    }
  }

  /// \brief Closes the connection with a TCP reset.
  void Reset() {
    error_code ec;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ec);
    Close();
  }

  FakeStoreReply Control(const std::string& path) {
    is_control_ = true;
    if (path == "/control/stats") {
      return {200, shared_->backend.Stats()};
    }
    error_code ec;
    const json::value body = json::parse(request_.body(), ec);
    if (ec || !body.is_object()) {
      return {kBadRequest, {{"error", "the body is no JSON object"}}};
    }
    FakeStoreReply reply = shared_->backend.Control(body.get_object());
    shared_->NotifyWatches();
    return reply;
  }

  void Execute() {
    FakeStoreFaults& faults = shared_->backend.faults();
    if (faults.drop_next > 0) {
      --faults.drop_next;
      Close();
      return;
    }
    if (faults.late_next > 0) {
      --faults.late_next;
      ExecuteLate(faults.late);
      WaitForClose();
      return;
    }
    try {
      if (std::optional<FakeStoreWatch> watch = protocol_->ParseWatch(call_)) {
        StartWatch(std::move(*watch));
        return;
      }
    } catch (const std::exception& ex) {
      Send(MakeErrorReply(kBadRequest, ex.what()));
      return;
    }
    const FakeStoreReply reply =
        shared_->backend.Execute(*protocol_, call_, shared_->clock.Now().mono);
    shared_->NotifyWatches();
    if (faults.lose_next_answers > 0) {
      --faults.lose_next_answers;
      Close();
      return;
    }
    if (faults.mute_next_answers > 0) {
      --faults.mute_next_answers;
      WaitForClose();
      return;
    }
    Send(reply);
  }

  /// \brief Executes the call after `late`, even if the connection has closed
  /// by then.
  void ExecuteLate(Milliseconds late) {
    auto timer =
        std::make_shared<asio::steady_timer>(stream_.get_executor(), late);
    timer->async_wait([timer, shared = shared_, protocol = protocol_,
                       call = call_](error_code ec) {
      if (ec) {
        return;
      }
      (void)shared->backend.Execute(*protocol, call, shared->clock.Now().mono);
      shared->NotifyWatches();
    });
  }

  void Send(const FakeStoreReply& reply) {
    response_ = {};
    response_.version(kHttpVersion);
    response_.result(reply.http_status);
    response_.set(http::field::content_type, "application/json");
    if (protocol_ != nullptr && !protocol_->era_header().empty()) {
      response_.set(std::string(protocol_->era_header()),
                    std::to_string(shared_->backend.era()));
    }
    response_.keep_alive(request_.keep_alive());
    response_.body() = json::serialize(reply.body);
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](error_code ec, std::size_t n) {
          self->shared_->backend.counts().bytes_sent += n;
          if (ec || !self->response_.keep_alive()) {
            self->Close();
            return;
          }
          self->Read();
        });
  }

  // Watches.

  [[nodiscard]] std::vector<FakeStoreEvent> WatchedEvents() const {
    std::vector<FakeStoreEvent> out;
    for (const FakeStoreEvent& it :
         shared_->backend.state().EventsSince(watch_->from)) {
      if (watch_->is_exact_key ? it.key == watch_->key
                               : it.key.starts_with(watch_->key)) {
        out.push_back(it);
      }
    }
    return out;
  }

  void StartWatch(FakeStoreWatch watch) {
    if (shared_->backend.faults().dead_watches) {
      WaitForClose();
      return;
    }
    const FakeStoreState& state = shared_->backend.state();
    // A store that was restored from a copy does not have the revisions that it
    // gave out since.
    const bool is_ahead = watch.wait && watch.from > state.revision() + 1;
    const bool compacted =
        is_ahead || (watch.from != 0 && watch.from <= state.compact_revision());
    watch.from = watch.from == 0 ? state.revision() + 1 : watch.from;
    if (watch.wait) {
      StartLongPoll(std::move(watch), compacted);
      return;
    }
    http::response<http::empty_body> header(http::status::ok, kHttpVersion);
    header.set(http::field::content_type, "application/json");
    header.chunked(true);
    std::ostringstream text;
    text << header.base();
    unsent_ += text.str();
    SendChunk(CreatedMessage());
    if (compacted) {
      SendChunk(CompactedMessage());
    } else {
      watch_ = std::move(watch);
      SendEvents();
    }
    WaitForClose();
  }

  /// \brief Starts a long poll: replies once, with the first events or with
  /// none after the watch's wait time.
  void StartLongPoll(FakeStoreWatch watch, bool compacted) {
    if (compacted) {
      Send(MakeErrorReply(kGone, "this history is no longer there"));
      return;
    }
    watch_ = std::move(watch);
    timer_.expires_after(*watch_->wait);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->watch_) {
        self->ReplyToWatch({});
      }
    });
    SendEvents();
  }

  void ReplyToWatch(const std::vector<FakeStoreEvent>& events) {
    watch_.reset();
    timer_.cancel();
    Send(
        protocol_->MakeWatchReply(events, shared_->backend.state().revision()));
  }

  /// \brief Reads no further request; closes once the client closes or sends
  /// anything.
  void WaitForClose() {
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](error_code) { self->Close(); });
  }

  json::object Header() const {
    return {{"revision", std::to_string(shared_->backend.state().revision())}};
  }

  json::object CreatedMessage() const {
    return {{"header", Header()}, {"watch_id", "0"}, {"created", true}};
  }

  json::object CompactedMessage() const {
    const StoreRevision revision = shared_->backend.state().compact_revision();
    return {{"header", Header()},
            {"canceled", true},
            {"compact_revision", std::to_string(revision)}};
  }

  json::object EventMessage(const FakeStoreEvent& event) const {
    json::object out;
    if (!event.item) {
      out["type"] = "DELETE";
    }
    out["kv"] =
        ToGatewayJson(event.item ? event.item->entry
                                 : StoreEntry{event.key, "", event.revision});
    return {{"header", Header()},
            {"watch_id", "0"},
            {"events", json::array{std::move(out)}}};
  }

  void SendChunk(json::object result) {
    const std::string line =
        json::serialize(json::object{{"result", std::move(result)}}) + "\n";
    std::ostringstream size;
    size << std::hex << line.size();
    unsent_ += size.str() + "\r\n" + line + "\r\n";
    Flush();
  }

  void Flush() {
    if (writing_ || unsent_.empty()) {
      return;
    }
    writing_ = true;
    sending_ = std::exchange(unsent_, {});
    asio::async_write(
        stream_, asio::buffer(sending_),
        [self = shared_from_this()](error_code ec, std::size_t n) {
          self->OnFlushed(ec, n);
        });
  }

  void OnFlushed(error_code ec, std::size_t n) {
    shared_->backend.counts().bytes_sent += n;
    writing_ = false;
    if (ec) {
      Close();
      return;
    }
    SendEvents();
    Flush();
  }

  beast::tcp_stream stream_;
  asio::steady_timer timer_;
  std::shared_ptr<FakeStoreShared> shared_;
  std::uint64_t connection_number_;
  /// Whether the connection has called /control.
  bool is_control_ = false;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  FakeStoreCall call_;
  const FakeStoreProtocol* protocol_ = nullptr;
  std::optional<FakeStoreWatch> watch_;
  std::string unsent_;
  std::string sending_;
  bool writing_ = false;
};

}  // namespace

void FakeStoreShared::NotifyWatches() {
  for (FakeStoreSession* it : sessions) {
    it->SendEvents();
  }
}

void FakeStoreSession::Start(tcp::socket socket,
                             const std::shared_ptr<FakeStoreShared>& shared) {
  std::make_shared<Session>(std::move(socket), shared)->Read();
}

}  // namespace cassiabend
