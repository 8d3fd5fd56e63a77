#pragma once

#include <cstdint>

namespace cassiabend {

/// \brief Load of an upstream as it reports it with an answer.
struct UpstreamLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Calls that the upstream runs at the same time; 0 if it does not tell.
  std::uint32_t slots = 0;
  /// Time that work takes on the upstream's host at present, in hundredths of
  /// the usual; 0 if it does not tell.
  std::uint32_t time_percent = 0;

  [[nodiscard]] bool operator==(const UpstreamLoad&) const = default;
};

}  // namespace cassiabend
