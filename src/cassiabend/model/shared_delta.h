#pragma once

#include <string>
#include <utility>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/model/change.h"
#include "cassiabend/model/lazy_encoding.h"

namespace cassiabend {

/// \brief An immutable delta that is sent to many nodes: stored and encoded
/// once.
class SharedDelta final : public RefCounted<SharedDelta> {
 public:
  explicit SharedDelta(ConfigDelta delta);
  /// \param packed Result of `packed()`.
  /// \throws ModelError when `packed` cannot be decoded.
  [[nodiscard]] static RefPtr<const SharedDelta> Unpack(std::string packed);

  [[nodiscard]] const ConfigDelta& delta() const noexcept { return delta_; }
  /// \returns The encoded delta, compressed.
  [[nodiscard]] const std::string& packed() const;

 private:
  SharedDelta(ConfigDelta delta, std::string packed);

  ConfigDelta delta_;
  LazyEncoding packed_;
};

using DeltaPtr = RefPtr<const SharedDelta>;

[[nodiscard]] inline DeltaPtr ShareDelta(ConfigDelta delta) {
  return DeltaPtr(new SharedDelta(std::move(delta)));
}

}  // namespace cassiabend
