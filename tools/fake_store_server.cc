#include "tools/fake_store_server.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cassiabend/base/clock.h"
#include "cassiabend/base/error.h"
#include "cassiabend/store/base64.h"
#include "tools/fake_store_gateway.h"

namespace cassiabend {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxRequestBytes = std::size_t{4} * 1024 * 1024;
constexpr Milliseconds kLeaseTick{100};
constexpr unsigned kHttpVersion = 11;

class Session;

/// \brief What the sessions share.
struct Shared {
  explicit Shared(const FakeStoreOptions& options)
      : gateway(options.writes_per_second, options.reads_per_second) {}

  FakeStoreGateway gateway;
  SystemClock clock;
  std::set<Session*> sessions;
};

/// \brief One client connection. Executes its requests one after the other; a
/// watch takes the connection over for good.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Shared> shared)
      : stream_(std::move(socket)),
        timer_(stream_.get_executor()),
        shared_(std::move(shared)),
        number_(shared_->gateway.NextConnection()) {
    shared_->sessions.insert(this);
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session() { shared_->sessions.erase(this); }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxRequestBytes);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t n) {
                       self->OnRead(ec, n);
                     });
  }

  /// \brief Sends the events that a watch of this session has not sent yet.
  void SendEvents() {
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

  void Close() {
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
    WakeWatches();
    return answer;
  }

  void WakeWatches() {
    for (Session* it : shared_->sessions) {
      it->SendEvents();
    }
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
    WakeWatches();
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
  std::shared_ptr<Shared> shared_;
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

class FakeStoreServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, const FakeStoreOptions& options)
      : acceptor_(io), timer_(io), shared_(std::make_shared<Shared>(options)) {
    try {
      const tcp::endpoint endpoint(asio::ip::make_address(options.ip),
                                   options.port);
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
    } catch (const boost::system::system_error& ex) {
      throw StoreError("open the stand-in's port",
                       options.ip + ":" + std::to_string(options.port),
                       ex.what());
    }
  }

  void Start() {
    Accept();
    Tick();
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  std::string Control(const std::string& text) {
    error_code ec;
    const json::value body = json::parse(text, ec);
    if (ec || !body.is_object()) {
      return R"({"error":"the body is no JSON object"})";
    }
    const GatewayAnswer answer = shared_->gateway.Control(body.get_object());
    WakeWatches();
    return json::serialize(answer.body);
  }

  std::string Stats() const {
    return json::serialize(shared_->gateway.Stats());
  }

  void Close() {
    error_code ec;
    acceptor_.close(ec);
    timer_.cancel();
    const std::vector<Session*> open(shared_->sessions.begin(),
                                     shared_->sessions.end());
    for (Session* it : open) {
      it->Close();
    }
  }

 private:
  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](error_code ec, tcp::socket socket) {
          if (ec) {
            return;
          }
          std::make_shared<Session>(std::move(socket), self->shared_)->Read();
          self->Accept();
        });
  }

  void WakeWatches() {
    for (Session* it : shared_->sessions) {
      it->SendEvents();
    }
  }

  /// \brief Ends leases whose time is over, also when nobody calls.
  void Tick() {
    shared_->gateway.ExpireLeases(shared_->clock.Now().mono);
    WakeWatches();
    timer_.expires_after(kLeaseTick);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->Tick();
      }
    });
  }

  tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  std::shared_ptr<Shared> shared_;
};

FakeStoreServer::FakeStoreServer(asio::io_context& io,
                                 const FakeStoreOptions& options)
    : impl_(std::make_shared<Impl>(io, options)) {
  impl_->Start();
}

FakeStoreServer::~FakeStoreServer() {
  Close();
}

std::uint16_t FakeStoreServer::port() const noexcept {
  return impl_->port();
}

std::string FakeStoreServer::Control(const std::string& json) {
  return impl_->Control(json);
}

std::string FakeStoreServer::Stats() const {
  return impl_->Stats();
}

void FakeStoreServer::Close() {
  impl_->Close();
}

}  // namespace cassiabend
