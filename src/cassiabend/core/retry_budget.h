#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cassiabend {

/// \brief Bounds retries to a share of the calls of each team and class.
class RetryBudget {
 public:
  /// \brief One balance, by the names it was asked for with.
  struct Balance {
    std::string team;
    std::string request_class;
    /// In thousandths of a retry.
    std::uint32_t left = 0;
  };

  /// \param permille Retries per thousand calls.
  explicit RetryBudget(std::uint32_t permille);

  [[nodiscard]] std::uint64_t granted() const noexcept { return granted_; }
  [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

  /// \returns The `n` balances with the least left.
  [[nodiscard]] std::vector<Balance> Lowest(std::size_t n) const;
  /// \returns What is left of one balance, in thousandths of a retry.
  [[nodiscard]] std::uint32_t Left(std::string_view team,
                                   std::string_view request_class) const;

  /// \brief Lets a balance hold this node's part of `burst` retries.
  /// \param nodes Nodes that share them.
  void set_limit(std::uint32_t burst, std::size_t nodes) noexcept;

  /// \brief Counts one call: it earns a share of a retry.
  void Earn(std::string_view team, std::string_view request_class);
  /// \returns Whether one retry may be made; it is spent then.
  [[nodiscard]] bool Spend(std::string_view team,
                           std::string_view request_class);

 private:
  /// \returns The balance in thousandths of a retry.
  [[nodiscard]] std::uint32_t* BalanceOf(std::string_view team,
                                         std::string_view request_class);
  /// \returns The key of a balance, valid until the next call.
  [[nodiscard]] const std::string& KeyOf(std::string_view team,
                                         std::string_view request_class) const;

  std::uint32_t permille_;
  /// Most that a balance holds, in thousandths of a retry.
  std::uint32_t limit_;
  std::uint64_t granted_ = 0;
  std::uint64_t refused_ = 0;
  std::unordered_map<std::string, std::uint32_t> balances_;
  /// Scratch space for keys, so that a lookup allocates nothing.
  mutable std::string key_;
};

}  // namespace cassiabend
