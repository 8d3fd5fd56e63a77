#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cassiabend {

/// \brief Limits retries to a share of the calls of each team and class. Each
/// call adds a fraction of a retry to a balance, and each retry takes one from
/// it.
class RetryBudget {
 public:
  /// \brief One balance and the names that identify it.
  struct Balance {
    std::string team;
    std::string request_class;
    /// Retries left, in thousandths.
    std::uint32_t left = 0;
  };

  /// \param permille Retries allowed per thousand calls.
  explicit RetryBudget(std::uint32_t permille);

  [[nodiscard]] std::uint64_t granted() const noexcept { return granted_; }
  [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

  /// \returns The `n` lowest balances in ascending order. Balances beyond the
  /// table's limit share one without a name, which is not listed.
  [[nodiscard]] std::vector<Balance> LowestBalances(std::size_t n) const;
  /// \returns The retries left in one balance, in thousandths.
  [[nodiscard]] std::uint32_t BalanceLeft(std::string_view team,
                                          std::string_view request_class) const;

  /// \brief Limits a balance to this node's part of `burst` retries, but to no
  /// less than one retry and no more than ten.
  /// \param nodes Number of nodes that share them.
  void SetBurst(std::uint32_t burst, std::size_t nodes) noexcept;

  /// \brief Counts one call, which adds its fraction of a retry to the balance.
  void Deposit(std::string_view team, std::string_view request_class);
  /// \brief Takes one retry from a balance if it holds one.
  /// \returns Whether the retry may be made.
  [[nodiscard]] bool TryWithdraw(std::string_view team,
                                 std::string_view request_class);

 private:
  /// \returns The balance in thousandths of a retry, created full if it is new.
  [[nodiscard]] std::uint32_t* BalanceOf(std::string_view team,
                                         std::string_view request_class);
  /// \returns The key of a balance. The reference is to `key_`, which the next
  /// call overwrites.
  [[nodiscard]] const std::string& KeyOf(std::string_view team,
                                         std::string_view request_class) const;

  std::uint32_t permille_;
  /// Upper bound of a balance, in thousandths of a retry.
  std::uint32_t limit_;
  std::uint64_t granted_ = 0;
  std::uint64_t refused_ = 0;
  std::unordered_map<std::string, std::uint32_t> balances_;
  /// Buffer for lookup keys, which avoids an allocation for each lookup.
  mutable std::string key_;
};

}  // namespace cassiabend
