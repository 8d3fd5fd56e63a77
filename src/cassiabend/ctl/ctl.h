#pragma once

#include <iosfwd>

namespace cassiabend {

/// \brief Streams of the command line tool.
struct CtlStreams {
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
};

/// \brief Runs cassiabend-ctl.
/// \returns The process's exit code; see `ExitCode`.
[[nodiscard]] int RunCtl(int argc,
                         const char* const* argv,
                         const CtlStreams& streams);

}  // namespace cassiabend
