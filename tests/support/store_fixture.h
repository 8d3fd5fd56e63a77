#pragma once

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cassiabend/base/clock.h"
#include "cassiabend/store/store_client.h"
#include "tools/fake_store_server.h"

namespace cassiabend::testing {

inline constexpr Milliseconds kStoreRequestTimeout{300};
inline constexpr Seconds kStoreWaitLimit{20};

/// \brief Records the replies that the client posts, and for which reducer.
class StoreReplySink final : public EventSink {
 public:
  void Post(Body body) override {
    if (const auto* event = std::get_if<ConfigEvent>(&body)) {
      Record(std::get_if<StoreReplied>(event), "config");
    } else if (const auto* event = std::get_if<FleetEvent>(&body)) {
      Record(std::get_if<StoreReplied>(event), "fleet");
    } else {
      Record(std::get_if<StoreReplied>(&std::get<CallEvent>(body)), "calls");
    }
  }

  std::vector<StoreReplied> replies;
  std::vector<std::string> receivers;

 private:
  void Record(const StoreReplied* reply, const char* receiver) {
    REQUIRE(reply != nullptr);
    replies.push_back(*reply);
    receivers.emplace_back(receiver);
  }
};

/// \brief A store client and a fake store server on one thread.
struct StoreFixture {
  explicit StoreFixture(const FakeStoreOptions& store = {},
                        StoreClientOptions base = {})
      : server(io, store), client(io, Options(std::move(base)), &sink) {}

  StoreClientOptions Options(StoreClientOptions base) {
    if (base.request_timeout == StoreClientOptions().request_timeout) {
      base.request_timeout = kStoreRequestTimeout;
    }
    base.endpoints.push_back({"127.0.0.1", server.port()});
    return base;
  }

  void Start(StoreRequest request,
             StoreClientRole role = StoreClientRole::kFleet) {
    client.Execute({{role, ++sequence}, std::move(request)});
  }

  /// \brief Sends a control command, a JSON object, to the fake store. The test
  /// fails if the fake store rejects it.
  void Control(const std::string& text) {
    CAPTURE(text);
    REQUIRE(server.Control(text) == R"({"ok":true})");
  }

  /// \brief Runs until `n` replies have arrived. The test fails if they do not
  /// arrive in time.
  void RunUntil(std::size_t n) {
    const SystemClock clock;
    const MonoTime end = clock.Now().mono + kStoreWaitLimit;
    while (sink.replies.size() < n && clock.Now().mono < end) {
      io.run_one_for(Milliseconds(50));
    }
    REQUIRE(sink.replies.size() == n);
  }

  void RunFor(Milliseconds time) { io.run_for(time); }

  /// \brief Executes a request and waits for its reply.
  StoreReply Ask(StoreRequest request) {
    const std::size_t before = sink.replies.size();
    Start(std::move(request));
    RunUntil(before + 1);
    return sink.replies.back().reply;
  }

  boost::asio::io_context io;
  StoreReplySink sink;
  FakeStoreServer server;
  StoreClient client;
  std::uint64_t sequence = 0;
};

}  // namespace cassiabend::testing
