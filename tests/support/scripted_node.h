#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "cassiabend/base/clock.h"
#include "cassiabend/base/error.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/http/call_server.h"
#include "tests/support/raw_peer.h"

namespace cassiabend {

/// \brief A `CallServer` driven by a script in place of the decision core: the
/// script returns the effects for each event, and all events are recorded.
class ScriptedNode final : public EventSink {
 public:
  ScriptedNode(boost::asio::io_context& io, CallServerOptions options)
      : io_(io), options_(std::move(options)) {
    options_.self = {"127.0.0.1", next_peer_port++};
    options_.start_id = 1;
    server_ = std::make_unique<CallServer>(io_, clock_, options_, this);
  }

  [[nodiscard]] CallServer& server() { return *server_; }
  [[nodiscard]] const CallServerOptions& options() const { return options_; }
  [[nodiscard]] std::uint16_t port() const { return server_->call_port(); }

  void Execute(const CallEffect& effect) { server_->Execute(effect); }

  /// \brief Returns the effects to execute for an event; none while unset.
  std::function<std::vector<CallEffect>(const CallEvent&)> script;

  void Post(Body body) override {
    const CallEvent event = std::get<CallEvent>(std::move(body));
    events_.push_back(event);
    boost::asio::post(io_, [this, event] {
      if (!script) {
        return;
      }
      for (const CallEffect& it : script(event)) {
        server_->Execute(it);
      }
    });
  }

  template <typename T>
  [[nodiscard]] std::size_t Count() const {
    std::size_t n = 0;
    for (const CallEvent& it : events_) {
      n += std::holds_alternative<T>(it) ? 1 : 0;
    }
    return n;
  }

  /// \brief Runs until `n` events of type `T` were recorded.
  /// \returns The newest of them.
  /// \throws Error if they do not arrive in time.
  template <typename T>
  [[nodiscard]] T Await(std::size_t n = 1) {
    if (!RunUntil(io_, [this, n] { return Count<T>() >= n; })) {
      throw Error("wait for an event", typeid(T).name(),
                  "it did not arrive in time");
    }
    T out;
    for (const CallEvent& it : events_) {
      if (const T* event = std::get_if<T>(&it)) {
        out = *event;
      }
    }
    return out;
  }

 private:
  static inline std::uint16_t next_peer_port = 1;

  boost::asio::io_context& io_;
  SystemClock clock_;
  CallServerOptions options_;
  std::vector<CallEvent> events_;
  std::unique_ptr<CallServer> server_;
};

/// \returns An attempt request with a value in every field.
[[nodiscard]] inline AttemptRequest ExampleAttempt(std::uint64_t n) {
  return {.id = {n, 1},
          .destination_start_id = 1,
          .route = "status",
          .service = "tracker",
          .team = "silfur",
          .request_class = "read",
          .order_key = "k1",
          .site = "workshop",
          .noisy = true,
          .once = true,
          .longest_job = Seconds(90),
          .config_number = 12,
          .deadline = Milliseconds(5'000),
          .depth = 3,
          .is_retry = true,
          .expires_at = WallTime(Milliseconds(1'700'000'000'123))};
}

/// \brief Sets the script of an entry node that sends each call to
/// `destination` once and relays the answer to the caller.
inline void ScriptEntry(ScriptedNode* entry, const ScriptedNode* destination) {
  entry->script = [destination](const CallEvent& event) {
    std::vector<CallEffect> out;
    if (const auto* call = std::get_if<CallArrived>(&event)) {
      out.emplace_back(SendAttempt{.call = call->call,
                                   .destination = destination->options().self,
                                   .call_port = destination->port(),
                                   .request = ExampleAttempt(call->call)});
    } else if (const auto* answer = std::get_if<AttemptAnswerStarted>(&event)) {
      out.emplace_back(RelayAnswer{answer->call, answer->attempt});
    } else if (const auto* refused = std::get_if<AttemptNotRun>(&event)) {
      out.emplace_back(
          AnswerNotRun{refused->call, refused->reason, refused->retry_after});
    } else if (const auto* unknown = std::get_if<AttemptUnknown>(&event)) {
      out.emplace_back(AnswerUnknown{unknown->call, "scripted"});
    } else if (const auto* end = std::get_if<AnswerRelayed>(&event)) {
      out.emplace_back(CallEnded{.call = end->call});
    } else if (const auto* gone = std::get_if<CallerDisconnected>(&event)) {
      out.emplace_back(CallEnded{.call = gone->call});
    }
    return out;
  };
}

/// \brief Sets the script of a destination node that starts each attempt at
/// once and sends the answer over the attempt's newest connection.
inline void ScriptDestination(ScriptedNode* destination,
                              Milliseconds deadline = Milliseconds(5'000)) {
  auto connections =
      std::make_shared<std::vector<std::pair<AttemptId, ConnectionId>>>();
  destination->script = [connections, deadline](const CallEvent& event) {
    std::vector<CallEffect> out;
    const auto connection_of = [&connections](const AttemptId& id) {
      ConnectionId connection = 0;
      for (const auto& [attempt, it] : *connections) {
        connection = attempt == id ? it : connection;
      }
      return connection;
    };
    if (const auto* run = std::get_if<AttemptArrived>(&event)) {
      connections->emplace_back(run->request.id, run->connection);
      out.emplace_back(StartUpstream{run->request.id, deadline});
    } else if (const auto* answer =
                   std::get_if<UpstreamAnswerStarted>(&event)) {
      out.emplace_back(
          SendAnswer{connection_of(answer->attempt), answer->attempt});
    } else if (const auto* shed = std::get_if<UpstreamShed>(&event)) {
      out.emplace_back(ReplyNotRun{connection_of(shed->attempt), shed->attempt,
                                   NotRunReason::kOverloaded,
                                   shed->retry_after});
    } else if (const auto* none = std::get_if<UpstreamUnreachable>(&event)) {
      out.emplace_back(ReplyNotRun{connection_of(none->attempt), none->attempt,
                                   NotRunReason::kUnreachable});
    } else if (const auto* broken =
                   std::get_if<UpstreamConnectionLost>(&event)) {
      out.emplace_back(
          ReplyUnknown{connection_of(broken->attempt), broken->attempt});
    }
    return out;
  };
}

/// \brief Sets the script of a node that is entry and destination of its calls:
/// every event goes to both scripts.
inline void ScriptBoth(ScriptedNode* node, Milliseconds deadline) {
  ScriptEntry(node, node);
  const auto entry = node->script;
  ScriptDestination(node, deadline);
  const auto destination = node->script;
  node->script = [entry, destination](const CallEvent& event) {
    std::vector<CallEffect> out = entry(event);
    for (CallEffect& it : destination(event)) {
      out.push_back(std::move(it));
    }
    return out;
  };
}

}  // namespace cassiabend
