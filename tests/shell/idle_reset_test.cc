// Upstreams that drop idle connections without closing them: the next request
// on such a connection is reset.

#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>
#include <string>

#include "cassiabend/http/client_exchange.h"
#include "tests/support/raw_peer.h"

namespace cassiabend {
namespace {

constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// \brief One request and its result.
struct RequestResult final : ExchangeListener {
  void OnResponseHead(MessageHead& head) override { status = head.status; }
  void OnResponseBody(std::string_view /*bytes*/) override {}
  void OnResponseEnd() override { ended = true; }
  void OnExchangeFailed(ExchangeFailure failure) override {
    exchange_failure = failure;
    ended = true;
  }

  std::uint16_t status = 0;
  std::optional<ExchangeFailure> exchange_failure;
  bool ended = false;
};

struct IdleResetFixture {
  IdleResetFixture()
      : server(io), timeouts(io), pool(io, clock, &timeouts, PoolOptions{}) {
    timeouts.Start();
  }
  ~IdleResetFixture() {
    pool.Close();
    timeouts.Stop();
  }

  void Send(RequestResult* result, bool may_resend) {
    const RefPtr<ClientExchange> exchange(new ClientExchange(
        &pool, {boost::asio::ip::address_v4::loopback(), server.port()},
        result));
    MessageHead head;
    head.method = "GET";
    head.target = "/";
    head.Add("Host", "h");
    exchange->Start({.head = head, .may_resend = may_resend});
  }
  /// \returns Connection `i`, once a complete request has arrived on it.
  std::shared_ptr<RawPeer> Peer(std::size_t i) {
    REQUIRE(RunUntil(io, [&] {
      return server.peers().size() > i && server.peers()[i]->Has("\r\n\r\n");
    }));
    return server.peers()[i];
  }
  void Serve(RequestResult* result, std::size_t i) {
    const auto peer = Peer(i);
    peer->Clear();
    peer->Send(kAnswer);
    REQUIRE(RunUntil(io, [&] { return result->ended; }));
    CHECK(result->status == 200);
  }
  void Wait(Milliseconds time) {
    boost::asio::steady_timer timer(io, time);
    bool is_over = false;
    timer.async_wait([&](const auto& /*ec*/) { is_over = true; });
    REQUIRE(RunUntil(io, [&] { return is_over; }));
  }

  boost::asio::io_context io;
  ManualClock clock;
  RawServer server;
  TimeoutList timeouts;
  ConnectionPool pool;
};

TEST_CASE("a repeatable request is resent when a reused connection is reset") {
  IdleResetFixture t;
  RequestResult first;
  t.Send(&first, true);
  t.Serve(&first, 0);
  RequestResult second;
  t.Send(&second, true);
  t.Peer(0)->Close();
  t.Serve(&second, 1);
  CHECK_FALSE(second.exchange_failure);
}

TEST_CASE("a request that may run only once is not resent after a reset") {
  IdleResetFixture t;
  RequestResult first;
  t.Send(&first, false);
  t.Serve(&first, 0);
  RequestResult second;
  t.Send(&second, false);
  t.Peer(0)->Close();
  REQUIRE(RunUntil(t.io, [&] { return second.ended; }));
  CHECK(second.exchange_failure == ExchangeFailure::kBroken);
  CHECK(t.server.peers().size() == 1);
}

TEST_CASE("after a reset, idle connections are kept for a shorter time") {
  IdleResetFixture t;
  RequestResult first;
  t.Send(&first, true);
  t.Serve(&first, 0);
  RequestResult second;
  t.Send(&second, true);
  t.Peer(0)->Close();
  t.Serve(&second, 1);
  t.Wait(Milliseconds(700));
  RequestResult third;
  t.Send(&third, true);
  t.Serve(&third, 2);
  // 30 s after the last reset they are kept as long as before.
  t.clock.Advance(Seconds(31));
  RequestResult fourth;
  t.Send(&fourth, true);
  t.Serve(&fourth, 2);
  t.Wait(Milliseconds(700));
  RequestResult fifth;
  t.Send(&fifth, true);
  t.Serve(&fifth, 2);
}

}  // namespace
}  // namespace cassiabend
