#include "cassiabend/core/head_codec.h"

#include "cassiabend/core/store_types.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {
namespace {

class CommittedHeadCodec final : public HeadCodec {
 public:
  [[nodiscard]] const std::string& key() const noexcept override {
    return key_;
  }
  [[nodiscard]] HeadValue Decode(std::string_view value) const override {
    return {.head = DecodeHead(value)};
  }

 private:
  std::string key_ = kHeadKey;
};

}  // namespace

const HeadCodec& StoredHeadCodec() {
  static const CommittedHeadCodec codec;
  return codec;
}

}  // namespace cassiabend
