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

/// \brief HTTP request to the fake store.
struct FakeStoreCall {
  std::string method;
  /// Path and query.
  std::string target;
  std::string body;
};

/// \brief HTTP response of the fake store.
struct FakeStoreReply {
  unsigned http_status = 200;
  boost::json::object body;
};

/// \returns An error reply to a call that had no effect.
[[nodiscard]] inline FakeStoreReply MakeErrorReply(unsigned http_status,
                                                   std::string_view message) {
  return {http_status,
          {{"error", message}, {"message", message}, {"executed", false}}};
}

/// \brief Cost of a call against the rate limit of writes or of reads.
struct FakeStoreCost {
  bool write = false;
  /// In tenths of a call.
  std::uint32_t tenths = 10;
};

/// \brief Request to be notified of changes.
struct FakeStoreWatch {
  /// A key, or a prefix of keys unless `is_exact_key`.
  std::string key;
  bool is_exact_key = true;
  /// First revision to report; 0 for the next one.
  StoreRevision from = 0;
  /// Longest wait of a long poll; unset for a stream of messages that lasts
  /// as long as its connection.
  std::optional<Milliseconds> wait;
};

/// \brief Server side of a key-value store protocol over HTTP.
class FakeStoreProtocol {
 public:
  FakeStoreProtocol() = default;
  FakeStoreProtocol(const FakeStoreProtocol&) = delete;
  FakeStoreProtocol& operator=(const FakeStoreProtocol&) = delete;
  virtual ~FakeStoreProtocol() = default;

  /// \returns Whether this protocol defines `target`, a path with a query.
  [[nodiscard]] virtual bool Handles(std::string_view target) const = 0;
  [[nodiscard]] virtual FakeStoreCost CostOf(
      const FakeStoreCall& call) const = 0;
  /// \returns Name of the response header that counts how often the store was
  /// restored from a copy; empty for none.
  [[nodiscard]] virtual std::string_view era_header() const noexcept {
    return {};
  }
  /// \returns The watch that `call` requests; unset for other calls.
  /// \throws std::exception when the request is malformed.
  [[nodiscard]] virtual std::optional<FakeStoreWatch> ParseWatch(
      const FakeStoreCall& call) const = 0;
  /// \returns The reply to a long poll.
  [[nodiscard]] virtual FakeStoreReply MakeWatchReply(
      std::span<const FakeStoreEvent> events,
      StoreRevision revision) const = 0;
  /// \brief Executes a call other than a watch.
  /// \throws std::exception when the call is malformed.
  [[nodiscard]] virtual FakeStoreReply Execute(const FakeStoreCall& call,
                                               FakeStoreState* state,
                                               MonoTime now) const = 0;
};

}  // namespace cassiabend
