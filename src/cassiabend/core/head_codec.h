#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/model/head.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \brief The decoded value of the store's head key.
struct HeadValue {
  Head head;
  /// The full version when the head key contains it; else null, and the version
  /// is stored under the keys that `head` lists.
  RefPtr<const Snapshot> full_version;
  /// What of the value cannot be used, one text for each part; the rest of the
  /// version holds.
  std::vector<std::string> remarks;
};

/// \brief The store key that names the newest accepted version, and the format
/// of its value.
class HeadCodec {
 public:
  HeadCodec() = default;
  HeadCodec(const HeadCodec&) = delete;
  HeadCodec& operator=(const HeadCodec&) = delete;
  virtual ~HeadCodec() = default;

  [[nodiscard]] virtual const std::string& key() const noexcept = 0;
  /// \throws ModelError when `value` cannot be decoded or violates a rule of
  /// the model.
  [[nodiscard]] virtual HeadValue Decode(std::string_view value) const = 0;
};

/// \returns The codec of the head that commits write.
[[nodiscard]] const HeadCodec& StoredHeadCodec();

}  // namespace cassiabend
