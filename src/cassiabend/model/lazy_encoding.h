#pragma once

#include <mutex>
#include <string>
#include <utility>

namespace cassiabend {

/// \brief The form of a value in which it is sent, made when it is first asked
/// for. Many messages carry one value, and threads may ask at the same time.
class LazyEncoding {
 public:
  LazyEncoding() = default;
  /// \param bytes The form in which the value came.
  explicit LazyEncoding(std::string bytes) : bytes_(std::move(bytes)) {}

  /// \param encode Makes the form; called at most once.
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
