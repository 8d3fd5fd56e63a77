#include "cassiabend/core/store_caller.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cassiabend {
namespace {

/// Longest wait for the reply to one transmission. Longer than the store
/// client's own timeout, so that it only applies when the client fails to
/// reply.
constexpr Milliseconds kTransmissionTimeout{3'000};
constexpr double kBackoffJitter = 0.5;
constexpr std::uint32_t kMaxDoublings = 16;

}  // namespace

void StoreCaller::Send(const ReduceContext& ctx,
                       StoreRequest request,
                       const SendOptions& options,
                       Handler handler) {
  Call call{.request = std::move(request),
            .options = options,
            .handler = std::move(handler),
            .retry_at = options.not_before};
  if (std::holds_alternative<StoreGet>(call.request)) {
    call.options.retry_policy = StoreRetryPolicy::kAlways;
  }
  if (options.not_before <= ctx.now.mono) {
    Transmit(ctx, std::move(call));
    return;
  }
  calls_.emplace(++env_->last_sequence, std::move(call));
}

void StoreCaller::Transmit(const ReduceContext& ctx, Call call) {
  const std::uint64_t sequence = ++env_->last_sequence;
  call.in_flight = true;
  call.sent_at = ctx.now.mono;
  ctx.out->emplace_back(StoreCall{{role_, sequence}, call.request});
  calls_.emplace(sequence, std::move(call));
}

bool StoreCaller::OnReply(const ReduceContext& ctx, const StoreReplied& event) {
  if (event.id.role != role_) {
    return false;
  }
  const auto it = calls_.find(event.id.sequence);
  if (it == calls_.end()) {
    return false;
  }
  Call call = std::move(it->second);
  calls_.erase(it);
  const StoreStatus status = event.reply.status;
  if (status == StoreStatus::kUnavailable || status == StoreStatus::kUnknown) {
    OnFailure(ctx, std::move(call), status);
    return true;
  }
  call.handler(ctx, event.reply);
  return true;
}

void StoreCaller::OnFailure(const ReduceContext& ctx,
                            Call call,
                            StoreStatus status) {
  has_failures_ = true;
  const StoreRetryPolicy needed = status == StoreStatus::kUnavailable
                                      ? StoreRetryPolicy::kIfNotExecuted
                                      : StoreRetryPolicy::kAlways;
  ++call.failures;
  call.in_flight = false;
  call.retry_at = ctx.now.mono + Backoff(call.failures);
  if (call.options.retry_policy < needed ||
      call.retry_at >= call.options.deadline) {
    call.handler(ctx, {.status = status});
    return;
  }
  calls_.emplace(++env_->last_sequence, std::move(call));
}

void StoreCaller::Tick(const ReduceContext& ctx) {
  std::vector<std::uint64_t> sequences;
  for (const auto& [sequence, call] : calls_) {
    sequences.push_back(sequence);
  }
  for (const std::uint64_t sequence : sequences) {
    const auto it = calls_.find(sequence);
    if (it != calls_.end()) {
      TickCall(ctx, it);
    }
  }
}

void StoreCaller::TickCall(const ReduceContext& ctx, Calls::iterator it) {
  const MonoTime now = ctx.now.mono;
  const Call& call = it->second;
  const bool lost =
      call.in_flight && now >= std::min(call.options.deadline,
                                        call.sent_at + kTransmissionTimeout);
  const bool retry = !call.in_flight && now >= call.retry_at;
  if (!lost && !retry) {
    return;
  }
  Call taken = std::move(it->second);
  calls_.erase(it);
  if (lost) {
    OnFailure(ctx, std::move(taken), StoreStatus::kUnknown);
  } else if (now >= taken.options.deadline) {
    taken.handler(ctx, {.status = StoreStatus::kUnavailable});
  } else {
    Transmit(ctx, std::move(taken));
  }
}

Nanoseconds StoreCaller::Backoff(std::uint32_t failures) {
  const std::uint32_t doublings = std::min(failures - 1, kMaxDoublings);
  const Milliseconds wait = env_->options.retry_base * (1LL << doublings);
  return env_->random.Jitter(std::min(wait, env_->options.retry_limit),
                             kBackoffJitter);
}

}  // namespace cassiabend
