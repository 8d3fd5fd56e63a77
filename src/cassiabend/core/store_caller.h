#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cassiabend/core/config_env.h"
#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief When a call that failed is retried.
enum class StoreRetryPolicy : std::uint8_t {
  kNever,
  /// When the store did not execute it.
  kIfNotExecuted,
  /// Also when its outcome is unknown. Only for idempotent calls: reads, and
  /// writes that create a new key with a known value.
  kAlways,
};

/// \brief How one store call is sent.
struct SendOptions {
  /// When the call fails: with `kUnavailable` if no write can have taken
  /// effect, else with `kUnknown`.
  MonoTime deadline{};
  StoreRetryPolicy retry_policy = StoreRetryPolicy::kIfNotExecuted;
  /// Earliest time to send; by default immediately.
  MonoTime not_before{};
};

/// \brief Sends the store calls of one job and passes each final reply to a
/// handler. Failed calls are retried according to their `StoreRetryPolicy`
/// value, with backoff, until the deadline. Replies to calls that have finished
/// are dropped.
class StoreCaller {
 public:
  using Handler =
      std::function<void(const ReduceContext& ctx, const StoreReply& reply)>;

  StoreCaller(StoreClientRole role, ConfigEnv* env) : role_(role), env_(env) {}

  /// \returns Whether any transmission so far has failed.
  [[nodiscard]] bool has_failures() const noexcept { return has_failures_; }

  void Send(const ReduceContext& ctx,
            StoreRequest request,
            const SendOptions& options,
            Handler handler);

  /// \returns Whether the reply belongs to a call of this job.
  bool OnReply(const ReduceContext& ctx, const StoreReplied& event);

  /// \brief Sends the retries that are due and fails the calls that have timed
  /// out.
  void Tick(const ReduceContext& ctx);

  /// \param failures Consecutive failures, at least 1.
  /// \returns The delay before the next transmission, with jitter.
  [[nodiscard]] Nanoseconds Backoff(std::uint32_t failures);

  /// \brief Drops all calls without calling their handlers.
  void Clear() noexcept { calls_.clear(); }

 private:
  struct Call {
    StoreRequest request;
    SendOptions options;
    Handler handler;
    std::uint32_t failures = 0;
    bool in_flight = false;
    MonoTime sent_at{};
    /// When to send it next, if not in flight.
    MonoTime retry_at{};
  };
  using Calls = std::map<std::uint64_t, Call>;

  void Transmit(const ReduceContext& ctx, Call call);
  void OnFailure(const ReduceContext& ctx, Call call, StoreStatus status);
  void TickCall(const ReduceContext& ctx, Calls::iterator it);

  StoreClientRole role_;
  ConfigEnv* env_;
  Calls calls_;
  bool has_failures_ = false;
};

}  // namespace cassiabend
