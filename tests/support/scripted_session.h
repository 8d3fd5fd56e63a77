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
    /// Whether it was first in line on its connection when it arrived.
    bool had_turn = false;
    // How often the session reported each event for this request.
    /// It became first in line, unanswered, after its arrival.
    int turn_events = 0;
    /// All of its answer was written to the connection.
    int complete_answers = 0;
    /// Its answer ended before all of it was written.
    int cut_answers = 0;
    /// The caller closed the connection before its answer began to be sent.
    int caller_closes = 0;
    /// Its answer broke off before it began to be sent.
    int failed_answers = 0;
    /// \returns How often the request ended, which must be once.
    [[nodiscard]] int ends() const {
      return complete_answers + cut_answers + caller_closes;
    }
  };

  explicit ScriptedSession(const SessionOptions& options)
      : timeouts_(io),
        buffered_bytes(new BufferedBytes),
        acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    timeouts_.Start();
    caller = RawPeer::Connect(io, acceptor_.local_endpoint().port());
    session = new ServerSession(acceptor_.accept(), &timeouts_, options,
                                buffered_bytes, &pacer_, this);
    session->Start();
  }
  ~ScriptedSession() override {
    session->Close();
    timeouts_.Stop();
  }

  /// \brief Runs the connection until `holds()` is true.
  /// \returns False if it does not become true in time.
  [[nodiscard]] bool WaitUntil(const std::function<bool()>& holds) {
    return RunUntil(io, holds);
  }
  /// \brief Runs all handlers that are ready, and those that they make ready.
  void RunReadyHandlers() {
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
  RefPtr<AnswerStream> BeginAnswer(std::size_t n) {
    const std::string body = BodyOf(requests.at(n).target);
    RefPtr<AnswerStream> answer(new AnswerStream({}, buffered_bytes));
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
  TimeoutList timeouts_;
  SystemClock clock_;
  BulkPacer pacer_{clock_, 0};

 public:
  RefPtr<BufferedBytes> buffered_bytes;
  std::shared_ptr<RawPeer> caller;
  RefPtr<ServerSession> session;
  std::vector<Request> requests;
  bool has_ended = false;
  int refused_messages = 0;
  /// Called with the index of each request when it arrives.
  std::function<void(std::size_t)> on_request;

 private:
  Request& RequestOf(const ServerExchange& exchange) {
    return requests.at(exchange.id());
  }
  void OnRequest(ServerSession& /*session*/,
                 ServerExchange& exchange,
                 RefPtr<BufferedRequest> request) override {
    exchange.set_id(requests.size());
    requests.push_back({.exchange = RefPtr<ServerExchange>(&exchange),
                        .target = request->head().target,
                        .had_turn = exchange.has_turn()});
    if (on_request) {
      on_request(requests.size() - 1);
    }
  }
  void OnTurn(ServerExchange& exchange) override {
    ++RequestOf(exchange).turn_events;
  }
  void OnAnswerBroken(ServerExchange& exchange) override {
    Request& request = RequestOf(exchange);
    ++request.failed_answers;
    MessageHead head;
    head.status = 502;
    head.reason = "Bad Gateway";
    exchange.Reply(std::move(head), BodyOf(request.target));
  }
  void OnAnswerEnd(ServerExchange& exchange, bool complete) override {
    // An exchange in which the session itself refuses a message has no request.
    if (exchange.id() >= requests.size() ||
        RequestOf(exchange).exchange.get() != &exchange) {
      return;
    }
    ++(complete ? RequestOf(exchange).complete_answers
                : RequestOf(exchange).cut_answers);
  }
  void OnPeerClosed(ServerExchange& exchange) override {
    if (exchange.id() < requests.size() &&
        RequestOf(exchange).exchange.get() == &exchange) {
      ++RequestOf(exchange).caller_closes;
    }
  }
  void OnMessageRefused() override { ++refused_messages; }
  void OnSessionEnd(ServerSession& /*session*/) override { has_ended = true; }

  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace cassiabend
