#pragma once

#include "tools/bench_report.h"

namespace cassiabend::bench {

/// \brief Measures the reducers and the model of one node in a fleet of the
/// largest supported size: time per event, memory, and sizes of encoded
/// configurations.
void MeasureCore(const Options& options, Report* report);

}  // namespace cassiabend::bench
