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

#include "cassiabend/store/base64.h"

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

class Session final : public FakeStoreSession,
                      public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<FakeStoreShared> shared)
      : stream_(std::move(socket)),
        timer_(stream_.get_executor()),
        shared_(std::move(shared)),
        number_(shared_->gateway.NextConnection()) {
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
    const FakeStoreFaults& faults = shared_->gateway.faults();
    if (!watch_ || writing_ || faults.dead_watches ||
        number_ < faults.silent_before) {
      return;
    }
    const FakeStoreState& state = shared_->gateway.state();
    for (const FakeStoreEvent& it :
         state.EventsSince(watch_->key, watch_->from)) {
      SendChunk(EventMessage(it));
    }
    watch_->from = std::max(watch_->from, state.revision() + 1);
  }

  void Close() override {
    timer_.cancel();
    stream_.close();
  }

 private:
  struct Watch {
    std::string key;
    StoreRevision from = 0;
  };

  void OnRead(error_code ec, std::size_t n) {
    if (ec) {
      Close();
      return;
    }
    shared_->gateway.counts().bytes_received += n;
    request_ = parser_->release();
    const std::string path(request_.target());
    if (path.rfind("/control", 0) == 0) {
      Send(Control(path));
      return;
    }
    if (number_ < shared_->gateway.faults().silent_before) {
      WaitForEnd();
      return;
    }
    if (std::optional<GatewayAnswer> refusal =
            shared_->gateway.Refusal(path, shared_->clock.Now().mono)) {
      Send(*refusal);
      return;
    }
    const Milliseconds slow = shared_->gateway.faults().slow;
    if (slow <= Milliseconds(0)) {
      Execute(path);
      return;
    }
    timer_.expires_after(slow);
    timer_.async_wait([self = shared_from_this(), path](error_code ec) {
      if (!ec) {
        self->Execute(path);
      }
    });
  }

  [[nodiscard]] std::optional<json::object> Body() const {
    error_code ec;
    json::value body = json::parse(request_.body(), ec);
    if (ec || !body.is_object()) {
      return std::nullopt;
    }
    return std::move(body.get_object());
  }

  GatewayAnswer Control(const std::string& path) {
    if (path == "/control/stats") {
      return {200, shared_->gateway.Stats()};
    }
    const std::optional<json::object> body = Body();
    if (!body) {
      return {400, {{"error", "the body is no JSON object"}}};
    }
    GatewayAnswer answer = shared_->gateway.Control(*body);
    shared_->WakeWatches();
    return answer;
  }

  void Execute(const std::string& path) {
    FakeStoreFaults& faults = shared_->gateway.faults();
    if (faults.drop_next > 0) {
      --faults.drop_next;
      Close();
      return;
    }
    const std::optional<json::object> body = Body();
    if (!body) {
      Send({400, {{"error", "the body is no JSON object"}}});
      return;
    }
    if (path == "/v3/watch") {
      StartWatch(*body);
      return;
    }
    const GatewayAnswer answer =
        shared_->gateway.Execute(path, *body, shared_->clock.Now().mono);
    shared_->WakeWatches();
    if (faults.lose_next_answers > 0) {
      --faults.lose_next_answers;
      Close();
      return;
    }
    Send(answer);
  }

  void Send(const GatewayAnswer& answer) {
    response_ = {};
    response_.version(kHttpVersion);
    response_.result(answer.http_status);
    response_.set(http::field::content_type, "application/json");
    response_.keep_alive(request_.keep_alive());
    response_.body() = json::serialize(answer.body);
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](error_code ec, std::size_t n) {
          self->shared_->gateway.counts().bytes_sent += n;
          if (ec || !self->response_.keep_alive()) {
            self->Close();
            return;
          }
          self->Read();
        });
  }

  // Watches.

  static std::int64_t StartRevision(const json::object& create) {
    const json::value* it = create.if_contains("start_revision");
    if (it == nullptr) {
      return 0;
    }
    return it->is_string() ? std::atoll(it->get_string().c_str())
                           : it->to_number<std::int64_t>();
  }

  void StartWatch(const json::object& body) {
    if (shared_->gateway.faults().dead_watches) {
      WaitForEnd();
      return;
    }
    const json::value* it = body.if_contains("create_request");
    const json::object* create = it == nullptr ? nullptr : it->if_object();
    const json::value* key =
        create == nullptr ? nullptr : create->if_contains("key");
    if (key == nullptr || !key->is_string()) {
      Send({400, {{"error", "create_request.key is missing"}}});
      return;
    }
    Watch watch;
    watch.key = DecodeBase64(key->get_string()).value_or("");
    watch.from = StartRevision(*create);
    http::response<http::empty_body> header(http::status::ok, kHttpVersion);
    header.set(http::field::content_type, "application/json");
    header.chunked(true);
    std::ostringstream text;
    text << header.base();
    out_ += text.str();
    SendChunk(CreatedMessage());
    const FakeStoreState& state = shared_->gateway.state();
    if (watch.from != 0 && watch.from <= state.compact_revision()) {
      SendChunk(CompactedMessage());
    } else {
      watch.from = watch.from == 0 ? state.revision() + 1 : watch.from;
      watch_ = std::move(watch);
      SendEvents();
    }
    WaitForEnd();
  }

  /// \brief Notices when the client closes the connection of a watch.
  void WaitForEnd() {
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](error_code) { self->Close(); });
  }

  json::object Header() const {
    return {{"revision", std::to_string(shared_->gateway.state().revision())}};
  }

  json::object CreatedMessage() const {
    return {{"header", Header()}, {"watch_id", "0"}, {"created", true}};
  }

  json::object CompactedMessage() const {
    const StoreRevision revision = shared_->gateway.state().compact_revision();
    return {{"header", Header()},
            {"canceled", true},
            {"compact_revision", std::to_string(revision)}};
  }

  json::object EventMessage(const FakeStoreEvent& event) const {
    json::object out;
    if (!event.value) {
      out["type"] = "DELETE";
    }
    out["kv"] =
        ToGatewayJson({event.key, event.value.value_or(""), event.revision});
    return {{"header", Header()},
            {"watch_id", "0"},
            {"events", json::array{std::move(out)}}};
  }

  void SendChunk(json::object result) {
    const std::string line =
        json::serialize(json::object{{"result", std::move(result)}}) + "\n";
    std::ostringstream size;
    size << std::hex << line.size();
    out_ += size.str() + "\r\n" + line + "\r\n";
    Flush();
  }

  void Flush() {
    if (writing_ || out_.empty()) {
      return;
    }
    writing_ = true;
    sending_ = std::exchange(out_, {});
    asio::async_write(
        stream_, asio::buffer(sending_),
        [self = shared_from_this()](error_code ec, std::size_t n) {
          self->OnFlushed(ec, n);
        });
  }

  void OnFlushed(error_code ec, std::size_t n) {
    shared_->gateway.counts().bytes_sent += n;
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
  std::uint64_t number_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  std::optional<Watch> watch_;
  std::string out_;
  std::string sending_;
  bool writing_ = false;
};

}  // namespace

void FakeStoreShared::WakeWatches() {
  for (FakeStoreSession* it : sessions) {
    it->SendEvents();
  }
}

void FakeStoreSession::Start(tcp::socket socket,
                             const std::shared_ptr<FakeStoreShared>& shared) {
  std::make_shared<Session>(std::move(socket), shared)->Read();
}

}  // namespace cassiabend
