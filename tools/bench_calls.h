#pragma once

#include "tools/bench_report.h"

namespace cassiabend::bench {

/// \brief Measures the latency that the mesh adds to calls, compared with
/// direct calls to an upstream in the same run.
void MeasureLatency(const Options& options, Report* report);

/// \brief Measures goodput under 1, 2 and 5 times the capacity, where one
/// request class causes the overload.
void MeasureOverload(const Options& options, Report* report);

/// \brief Measures executions per call while a third of a service's upstreams
/// fail.
void MeasureRetries(const Options& options, Report* report);

/// \brief Measures the calls that are lost while a node drains.
void MeasureDrain(const Options& options, Report* report);

}  // namespace cassiabend::bench
