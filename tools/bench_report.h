#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace cassiabend::bench {

/// \brief Writes measurements to standard output, one JSON object per line.
class Report {
 public:
  /// \param common Fields that are added to every line.
  explicit Report(boost::json::object common);

  [[nodiscard]] std::uint64_t violations() const noexcept {
    return violations_;
  }

  /// \brief Writes one measurement.
  /// \param extra Further fields of the line.
  void Emit(const std::string& metric,
            double value,
            const std::string& unit,
            const boost::json::object& extra = {});
  /// \brief Counts a violated guarantee and prints it on standard error.
  void AddViolation(const std::string& what);

 private:
  boost::json::object common_;
  std::uint64_t violations_ = 0;
};

/// \brief Collects samples for quantiles.
class Samples {
 public:
  void Add(double value) { values_.push_back(value); }
  void Append(const Samples& other);

  [[nodiscard]] std::size_t size() const noexcept { return values_.size(); }
  /// \param q From 0 to 1.
  /// \returns The quantile by the nearest-rank method; 0 without samples.
  [[nodiscard]] double Quantile(double q) const;

 private:
  std::vector<double> values_;
};

/// \brief Options of the bench.
struct Options {
  /// Directory of the programs.
  std::string bin;
  /// Directory for settings files and logs.
  std::string work;
  std::string deployment = "cascadia";
  /// Whether to measure with fewer samples and shorter loads.
  bool quick = false;
  /// Host counts of the fleets that `MeasureFleet` runs.
  std::vector<std::size_t> sizes;
  std::uint64_t seed = 1;
};

}  // namespace cassiabend::bench
