#pragma once

#include "tools/bench_report.h"

namespace cassiabend::bench {

/// \brief Measures the decision core of one node at the target's size: time
/// per event, memory, and bytes of the messages by the real codec.
void MeasureCore(const Options& options, Report* report);

}  // namespace cassiabend::bench
