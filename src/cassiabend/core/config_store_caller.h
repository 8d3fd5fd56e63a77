#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cassiabend/core/config_env.h"
#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief When a call that failed is sent again.
enum class Resend : std::uint8_t {
  kNever,
  /// When it was not done.
  kIfNotDone,
  /// Also when its answer was lost: for reads, and for writes that create a
  /// fresh key with a known value.
  kAlways,
};

/// \brief How one store call is sent.
struct SendOptions {
  /// When to give up: with `kUnavailable` if no write can have taken effect,
  /// else with `kUnknown`.
  MonoTime deadline{};
  Resend resend = Resend::kIfNotDone;
  /// Earliest time to send; by default at once.
  MonoTime not_before{};
};

/// \brief Sends the store calls of one job and hands each final answer to a
/// handler. Failed calls are sent again as their `Resend` rule says, with
/// backoff, until the deadline. Answers to calls that have ended are
/// dropped.
class StoreCaller {
 public:
  using Handler =
      std::function<void(const ReduceContext& ctx, const StoreReply& reply)>;

  StoreCaller(StoreClientRole role, ConfigEnv* env) : role_(role), env_(env) {}

  /// \returns Whether any call so far was not answered at the first try.
  [[nodiscard]] bool disturbed() const noexcept { return disturbed_; }

  void Send(const ReduceContext& ctx,
            StoreRequest request,
            const SendOptions& options,
            Handler handler);

  /// \returns Whether the answer belonged to a call of this job.
  bool OnReply(const ReduceContext& ctx, const StoreReplied& event);

  /// \brief Sends the retries that are due and ends the calls out of time.
  void Tick(const ReduceContext& ctx);

  /// \returns The wait before the next try after so many failures.
  [[nodiscard]] Nanoseconds Backoff(std::uint32_t failures);

  /// \brief Forgets all calls; their handlers are not called.
  void Clear() noexcept { calls_.clear(); }

 private:
  struct Call {
    StoreRequest request;
    SendOptions options;
    Handler handler;
    std::uint32_t failures = 0;
    bool in_flight = false;
    MonoTime sent_at{};
    /// When to send again, if not in flight.
    MonoTime retry_at{};
  };
  using Calls = std::map<std::uint64_t, Call>;

  void Transmit(const ReduceContext& ctx, Call call);
  void OnFailure(const ReduceContext& ctx, Call call, StoreStatus status);
  void TickCall(const ReduceContext& ctx, Calls::iterator it);

  StoreClientRole role_;
  ConfigEnv* env_;
  Calls calls_;
  bool disturbed_ = false;
};

}  // namespace cassiabend
