#pragma once

#include <iosfwd>

namespace cassiabend {

/// \brief Standard streams of cassiabend-ctl.
struct CtlStreams {
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
};

/// \brief Runs cassiabend-ctl. Errors are written to `streams.err`.
/// \returns The process's exit code; see `ExitCode`.
[[nodiscard]] int RunCtl(int argc,
                         const char* const* argv,
                         const CtlStreams& streams);

}  // namespace cassiabend
