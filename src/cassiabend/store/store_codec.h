#pragma once

#include <string_view>

#include "cassiabend/core/store_types.h"
#include "cassiabend/store/gateway_codec.h"

namespace cassiabend {

/// \brief How the calls of the store look on the wire.
class StoreCodec {
 public:
  StoreCodec() = default;
  StoreCodec(const StoreCodec&) = delete;
  StoreCodec& operator=(const StoreCodec&) = delete;
  virtual ~StoreCodec() = default;

  [[nodiscard]] virtual GatewayRequest Encode(
      const StoreRequest& request) const = 0;
  /// \brief The status that a whole HTTP answer stands for; see
  /// `DecodeGatewayReply`.
  [[nodiscard]] virtual StoreReply Decode(const StoreRequest& request,
                                          unsigned http_status,
                                          std::string_view body) const = 0;
  /// \returns Whether a watch is answered by a stream of messages. Otherwise
  /// it is answered once, by `Decode`.
  [[nodiscard]] virtual bool streams_watches() const noexcept = 0;
};

/// \returns The codec of the etcd v3 HTTP/JSON gateway.
[[nodiscard]] const StoreCodec& GatewayStoreCodec();

}  // namespace cassiabend
