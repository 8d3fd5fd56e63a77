#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cassiabend/http/server_session.h"
#include "cassiabend/http/timeout_list.h"
#include "tests/support/raw_peer.h"

namespace cassiabend {

/// \brief A server session on a loopback connection. Its handler records the
/// events, and the test decides when and how requests are answered.
class ScriptedSession final : private SessionHandler {
 public:
  /// \brief A request that the session passed to its handler.
  struct Request {
    RefPtr<ServerExchange> exchange;
    std::string target;
    bool had_turn = false;
    /// Numbers of events for this request: it became first in line, its answer
    /// ended complete, its answer was cut, the caller closed the connection,
    /// the answer's source failed.
    int turns = 0;
    int whole_ends = 0;
    int cut_ends = 0;
    int gone = 0;
    int broken = 0;
    [[nodiscard]] int ends() const { return whole_ends + cut_ends + gone; }
  };

  explicit ScriptedSession(const SessionOptions& options)
      : ticks_(io),
        held_bytes(new HeldBytes),
        acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    ticks_.Start();
    caller = RawPeer::Connect(io, acceptor_.local_endpoint().port());
    session = new ServerSession(acceptor_.accept(), &ticks_, options,
                                held_bytes, &pacer_, this);
    session->Start();
  }
  ~ScriptedSession() override {
    session->Close();
    ticks_.Stop();
  }

  [[nodiscard]] bool Until(const std::function<bool()>& holds) {
    return RunUntil(io, holds);
  }
  /// \brief Runs all handlers that are ready, and those that they make ready.
  void Settle() {
    constexpr int kRounds = 20;
    for (int i = 0; i < kRounds; ++i) {
      io.restart();
      io.poll();
    }
  }
  /// \brief Answers request `n` with a body that names its target.
  void Answer(std::size_t n) {
    MessageHead head;
    head.status = 200;
    head.reason = "OK";
    requests.at(n).exchange->Reply(std::move(head),
                                   BodyOf(requests.at(n).target));
  }
  /// \brief Begins an answer to request `n` whose body the test sends in
  /// pieces.
  RefPtr<AnswerStream> Begin(std::size_t n) {
    const std::string body = BodyOf(requests.at(n).target);
    RefPtr<AnswerStream> answer(new AnswerStream({}, held_bytes));
    MessageHead head;
    head.status = 200;
    head.reason = "OK";
    head.content_length = body.size();
    answer->Begin(std::move(head));
    requests.at(n).exchange->Relay(answer);
    return answer;
  }
  [[nodiscard]] static std::string BodyOf(const std::string& target) {
    return "<" + target + ">";
  }

  boost::asio::io_context io;

 private:
  TimeoutList ticks_;
  SystemClock clock_;
  BulkPacer pacer_{clock_, 0};

 public:
  RefPtr<HeldBytes> held_bytes;
  std::shared_ptr<RawPeer> caller;
  RefPtr<ServerSession> session;
  std::vector<Request> requests;
  bool has_ended = false;
  int refused = 0;
  /// Called with the index of each request when it arrives.
  std::function<void(std::size_t)> on_request;

 private:
  Request& Of(const ServerExchange& exchange) {
    return requests.at(exchange.id());
  }
  void OnRequest(ServerSession& /*session*/,
                 ServerExchange& exchange,
                 RefPtr<HeldRequest> request) override {
    exchange.set_id(requests.size());
    requests.push_back({.exchange = RefPtr<ServerExchange>(&exchange),
                        .target = request->head().target,
                        .had_turn = exchange.has_turn()});
    if (on_request) {
      on_request(requests.size() - 1);
    }
  }
  void OnTurn(ServerExchange& exchange) override { ++Of(exchange).turns; }
  void OnAnswerBroken(ServerExchange& exchange) override {
    Request& request = Of(exchange);
    ++request.broken;
    MessageHead head;
    head.status = 502;
    head.reason = "Bad Gateway";
    exchange.Reply(std::move(head), BodyOf(request.target));
  }
  void OnAnswerEnd(ServerExchange& exchange, bool complete) override {
    // An exchange in which the session itself refuses a message has no request.
    if (exchange.id() >= requests.size() ||
        Of(exchange).exchange.get() != &exchange) {
      return;
    }
    ++(complete ? Of(exchange).whole_ends : Of(exchange).cut_ends);
  }
  void OnPeerClosed(ServerExchange& exchange) override {
    if (exchange.id() < requests.size() &&
        Of(exchange).exchange.get() == &exchange) {
      ++Of(exchange).gone;
    }
  }
  void OnMessageRefused() override { ++refused; }
  void OnSessionEnd(ServerSession& /*session*/) override { has_ended = true; }

  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace cassiabend
