#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace cassiabend::bench {

/// \brief Writes one JSON object a line on standard output.
class Report {
 public:
  /// \param common Fields of every line.
  explicit Report(boost::json::object common);

  [[nodiscard]] std::uint64_t violations() const noexcept {
    return violations_;
  }

  void Emit(const std::string& metric,
            double value,
            const std::string& unit,
            const boost::json::object& extra = {});
  /// \brief Counts a broken promise and says it on standard error.
  void Violation(const std::string& what);

 private:
  boost::json::object common_;
  std::uint64_t violations_ = 0;
};

/// \brief Samples with their quantiles.
class Samples {
 public:
  void Add(double value) { values_.push_back(value); }
  void Append(const Samples& other);

  [[nodiscard]] std::size_t size() const noexcept { return values_.size(); }
  /// \param q Quantile from 0 to 1. \returns 0 without samples.
  [[nodiscard]] double Quantile(double q) const;

 private:
  std::vector<double> values_;
};

/// \brief What the bench is asked to do.
struct Options {
  std::string bin;
  std::string work;
  std::string deployment = "cascadia";
  bool quick = false;
  /// Sizes of the fleets.
  std::vector<std::size_t> sizes;
  std::uint64_t seed = 1;
};

}  // namespace cassiabend::bench
