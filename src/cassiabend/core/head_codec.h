#pragma once

#include <string>
#include <string_view>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/model/head.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \brief What the store's head key says.
struct HeadValue {
  Head head;
  /// The version itself where the key holds it whole; else null, and the keys
  /// that `head` names hold it.
  RefPtr<const Snapshot> whole;
};

/// \brief Where the newest accepted version stands in the store, and its form.
class HeadCodec {
 public:
  HeadCodec() = default;
  HeadCodec(const HeadCodec&) = delete;
  HeadCodec& operator=(const HeadCodec&) = delete;
  virtual ~HeadCodec() = default;

  [[nodiscard]] virtual const std::string& key() const noexcept = 0;
  /// \throws ModelError when `value` cannot be read or breaks a rule.
  [[nodiscard]] virtual HeadValue Decode(std::string_view value) const = 0;
};

/// \returns The head as the product's own commit path writes it.
[[nodiscard]] const HeadCodec& StoredHeadCodec();

}  // namespace cassiabend
