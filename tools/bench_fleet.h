#pragma once

#include "tools/bench_report.h"

namespace cassiabend::bench {

/// \brief Measures a fleet of `hosts` hosts: control traffic, store calls,
/// processor time, memory, convergence of changes, and the recovery from a
/// restart of half of the nodes.
void MeasureFleet(const Options& options, std::size_t hosts, Report* report);

}  // namespace cassiabend::bench
