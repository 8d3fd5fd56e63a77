#include "cassiabend/model/shared_delta.h"

#include <utility>

#include "cassiabend/model/packed.h"

namespace cassiabend {

SharedDelta::SharedDelta(ConfigDelta delta) : delta_(std::move(delta)) {}

SharedDelta::SharedDelta(ConfigDelta delta, std::string packed)
    : delta_(std::move(delta)), packed_(std::move(packed)) {}

RefPtr<const SharedDelta> SharedDelta::Unpack(std::string packed) {
  ConfigDelta delta = DecodeDelta(UnpackBytes(packed, "delta"));
  return RefPtr<const SharedDelta>(
      new SharedDelta(std::move(delta), std::move(packed)));
}

const std::string& SharedDelta::packed() const {
  return packed_.Get([this] { return Compress(EncodeDelta(delta_)); });
}

}  // namespace cassiabend
