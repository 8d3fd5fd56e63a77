#pragma once

#include <string_view>

#include "cassiabend/core/store_types.h"
#include "cassiabend/store/gateway_codec.h"

namespace cassiabend {

/// \brief Converts store requests and replies to and from their form in HTTP.
class StoreCodec {
 public:
  StoreCodec() = default;
  StoreCodec(const StoreCodec&) = delete;
  StoreCodec& operator=(const StoreCodec&) = delete;
  virtual ~StoreCodec() = default;

  [[nodiscard]] virtual GatewayRequest Encode(
      const StoreRequest& request) const = 0;
  /// \brief Decodes a complete HTTP response to `request`. The same rule as for
  /// `DecodeGatewayReply` holds for its status.
  [[nodiscard]] virtual StoreReply Decode(const StoreRequest& request,
                                          unsigned http_status,
                                          std::string_view body) const = 0;
  /// \returns Name of the response header that counts how often the store was
  /// restored from a copy, from 0 on; empty if it states none.
  [[nodiscard]] virtual std::string_view era_header() const noexcept {
    return {};
  }
  /// \returns Whether the response to a watch is a stream of messages.
  /// Otherwise it is a single message, read by `Decode`.
  [[nodiscard]] virtual bool streams_watches() const noexcept = 0;
};

/// \returns The codec of the etcd v3 HTTP/JSON gateway.
[[nodiscard]] const StoreCodec& GatewayStoreCodec();

}  // namespace cassiabend
