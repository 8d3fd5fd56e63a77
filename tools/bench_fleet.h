#pragma once

#include "tools/bench_report.h"

namespace cassiabend::bench {

/// \brief Measures convergence, control traffic, store calls, processor time,
/// memory and the return of half of the nodes, for one size of the fleet.
void MeasureFleet(const Options& options, std::size_t hosts, Report* report);

}  // namespace cassiabend::bench
