#pragma once

#include "tools/bench_report.h"

namespace cassiabend::bench {

/// \brief Measures the latency that the mesh adds, against direct calls in the
/// same run.
void MeasureLatency(const Options& options, Report* report);

/// \brief Measures goodput under 1, 2 and 5 times the capacity with one class
/// flooding.
void MeasureOverload(const Options& options, Report* report);

/// \brief Measures executions per call while a third of a service's upstreams
/// fail.
void MeasureRetries(const Options& options, Report* report);

/// \brief Measures lost calls while nodes drain and while nodes are killed.
void MeasureDrain(const Options& options, Report* report);

}  // namespace cassiabend::bench
