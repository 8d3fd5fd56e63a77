#pragma once

#include <string>
#include <string_view>

#include "cassiabend/core/rollout/rollout.h"

namespace cassiabend {

/// \brief The store keys of roll-outs and the formats of their values.
class RolloutCodec {
 public:
  RolloutCodec() = default;
  RolloutCodec(const RolloutCodec&) = delete;
  RolloutCodec& operator=(const RolloutCodec&) = delete;
  virtual ~RolloutCodec() = default;

  /// \returns Prefix of the keys of the operators' orders and of the head.
  [[nodiscard]] virtual const std::string& watch_prefix() const noexcept = 0;
  /// \returns Prefix of the keys of the operators' orders.
  [[nodiscard]] virtual const std::string& order_prefix() const noexcept = 0;
  /// \throws ModelError when `value` is no order.
  [[nodiscard]] virtual RolloutOrder DecodeOrder(
      std::string_view value) const = 0;
  /// \returns The key of the state of a service's roll-out.
  [[nodiscard]] virtual std::string StatusKey(
      const std::string& service) const = 0;
  [[nodiscard]] virtual std::string EncodeStatus(
      const Rollout& rollout) const = 0;
  /// \returns The state that `value` tells, without the order's duration.
  /// \throws ModelError when `value` is no state.
  [[nodiscard]] virtual Rollout DecodeStatus(std::string_view value) const = 0;
};

}  // namespace cassiabend
