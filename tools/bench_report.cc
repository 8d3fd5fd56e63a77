#include "tools/bench_report.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <iostream>
#include <utility>

namespace cassiabend::bench {

Report::Report(boost::json::object common) : common_(std::move(common)) {}

void Report::Emit(const std::string& metric,
                  double value,
                  const std::string& unit,
                  const boost::json::object& extra) {
  boost::json::object line{
      {"metric", metric}, {"value", value}, {"unit", unit}};
  for (const auto& it : common_) {
    line[it.key()] = it.value();
  }
  for (const auto& it : extra) {
    line[it.key()] = it.value();
  }
  std::cout << boost::json::serialize(line) << std::endl;
}

void Report::AddViolation(const std::string& what) {
  ++violations_;
  std::cerr << "violation: " << what << "\n";
}

void Samples::Append(const Samples& other) {
  values_.insert(values_.end(), other.values_.begin(), other.values_.end());
}

double Samples::Quantile(double q) const {
  if (values_.empty()) {
    return 0;
  }
  std::vector<double> sorted = values_;
  std::ranges::sort(sorted);
  const double rank = std::ceil(q * static_cast<double>(sorted.size()));
  const auto n = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return sorted.at(std::min(n, sorted.size() - 1));
}

}  // namespace cassiabend::bench
