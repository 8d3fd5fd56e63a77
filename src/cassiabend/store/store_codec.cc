#include "cassiabend/store/store_codec.h"

namespace cassiabend {
namespace {

class GatewayCodec final : public StoreCodec {
 public:
  [[nodiscard]] GatewayRequest Encode(
      const StoreRequest& request) const override {
    return EncodeGatewayRequest(request);
  }
  [[nodiscard]] StoreReply Decode(const StoreRequest& request,
                                  unsigned http_status,
                                  std::string_view body) const override {
    return DecodeGatewayReply(request, http_status, body);
  }
  [[nodiscard]] bool streams_watches() const noexcept override { return true; }
};

}  // namespace

const StoreCodec& GatewayStoreCodec() {
  static const GatewayCodec codec;
  return codec;
}

}  // namespace cassiabend
