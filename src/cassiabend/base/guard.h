#pragma once

#include <exception>
#include <string_view>

#include "cassiabend/base/log.h"

namespace cassiabend {

/// \brief Runs a handler, whose failure concerns only what it handles: an
/// exception is logged and goes no further.
/// \param what Names the kind of handler in the log.
/// \returns Whether it ended without an exception.
template <typename Func>
bool RunGuarded(std::string_view what, Func&& func) noexcept {
  try {
    func();
    return true;
  } catch (const std::exception& e) {
    Log(LogLevel::kError, "handler_failed",
        {{"handler", what}, {"why", e.what()}});
    return false;
  }
}

}  // namespace cassiabend
