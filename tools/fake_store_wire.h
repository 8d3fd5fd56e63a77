#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "cassiabend/base/time.h"
#include "tools/fake_store_state.h"

namespace cassiabend {

/// \brief One HTTP call as the stand-in received it.
struct FakeStoreCall {
  std::string method;
  /// Path and query.
  std::string target;
  std::string body;
};

/// \brief An answer of the stand-in.
struct GatewayAnswer {
  unsigned http_status = 200;
  boost::json::object body;
};

/// \returns An answer that says that nothing was done, and why.
[[nodiscard]] inline GatewayAnswer FakeStoreFailure(unsigned http_status,
                                                    std::string_view message) {
  return {http_status,
          {{"error", message}, {"message", message}, {"executed", false}}};
}

/// \brief How a call counts towards the rate limits, in tenths of a call.
struct FakeStorePrice {
  bool write = false;
  std::uint32_t tenths = 10;
};

/// \brief What a client wants to be told of.
struct FakeStoreWatch {
  /// A key, or the beginning of keys.
  std::string key;
  bool whole_key = true;
  /// First revision of interest; 0 for what comes next.
  StoreRevision from = 0;
  /// Longest time until the answer; unset when the watch is a stream of
  /// messages that lasts as long as its connection.
  std::optional<Milliseconds> wait;
};

/// \brief How the calls of a store look on the wire, seen from the store.
class FakeStoreWire {
 public:
  FakeStoreWire() = default;
  FakeStoreWire(const FakeStoreWire&) = delete;
  FakeStoreWire& operator=(const FakeStoreWire&) = delete;
  virtual ~FakeStoreWire() = default;

  /// \returns Whether calls with this path and query belong to this wire.
  [[nodiscard]] virtual bool Knows(std::string_view target) const = 0;
  [[nodiscard]] virtual FakeStorePrice PriceOf(
      const FakeStoreCall& call) const = 0;
  /// \returns The watch that `call` asks for; unset for other calls.
  /// \throws std::exception when it asks in a wrong way.
  [[nodiscard]] virtual std::optional<FakeStoreWatch> ReadWatch(
      const FakeStoreCall& call) const = 0;
  /// \returns The answer to a watch that is no stream.
  [[nodiscard]] virtual GatewayAnswer AnswerWatch(
      std::span<const FakeStoreEvent> events,
      StoreRevision revision) const = 0;
  /// \brief Executes one call other than a watch.
  /// \throws std::exception when the call is malformed.
  [[nodiscard]] virtual GatewayAnswer Execute(const FakeStoreCall& call,
                                              FakeStoreState* state,
                                              MonoTime now) const = 0;
};

}  // namespace cassiabend
