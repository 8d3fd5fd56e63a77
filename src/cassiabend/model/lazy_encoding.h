#pragma once

#include <mutex>
#include <string>
#include <utility>

namespace cassiabend {

/// \brief Encodes a value when its bytes are first requested and keeps them, as
/// many messages carry the same value. Safe to use from several threads.
class LazyEncoding {
 public:
  LazyEncoding() = default;
  /// \param bytes The value as it was received, already encoded.
  explicit LazyEncoding(std::string bytes) : bytes_(std::move(bytes)) {}

  /// \param encode Returns the encoded value; called at most once.
  template <typename Encode>
  [[nodiscard]] const std::string& Get(Encode&& encode) const {
    std::call_once(once_, [&] {
      if (bytes_.empty()) {
        bytes_ = std::forward<Encode>(encode)();
      }
    });
    return bytes_;
  }

 private:
  mutable std::once_flag once_;
  mutable std::string bytes_;
};

}  // namespace cassiabend
