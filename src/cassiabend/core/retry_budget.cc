#include "cassiabend/core/retry_budget.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// One retry in the unit of balances.
constexpr std::uint32_t kOneRetry = 1'000;
/// Upper bound of a balance: ten retries. A new balance starts full.
constexpr std::uint32_t kBalanceLimit = 10 * kOneRetry;
/// Balances beyond this number share one, so that names chosen by callers
/// cannot grow the table without bound.
constexpr std::size_t kMaxBalances = 4'096;

}  // namespace

RetryBudget::RetryBudget(std::uint32_t permille)
    : permille_(permille), limit_(kBalanceLimit) {}

void RetryBudget::SetBurst(std::uint32_t burst, std::size_t nodes) noexcept {
  const std::uint64_t part =
      std::uint64_t{burst} * kOneRetry / std::max<std::size_t>(nodes, 1);
  // However many nodes share the burst, each may make one retry.
  limit_ = static_cast<std::uint32_t>(
      std::clamp<std::uint64_t>(part, kOneRetry, kBalanceLimit));
}

void RetryBudget::Deposit(std::string_view team,
                          std::string_view request_class) {
  std::uint32_t* balance = BalanceOf(team, request_class);
  *balance = std::min(*balance + permille_, limit_);
}

bool RetryBudget::TryWithdraw(std::string_view team,
                              std::string_view request_class) {
  std::uint32_t* balance = BalanceOf(team, request_class);
  if (*balance < kOneRetry) {
    ++refused_;
    return false;
  }
  *balance -= kOneRetry;
  ++granted_;
  return true;
}

std::vector<RetryBudget::Balance> RetryBudget::LowestBalances(
    std::size_t n) const {
  std::vector<Balance> out;
  for (const auto& [key, left] : balances_) {
    const std::size_t end = key.find('\0');
    if (end != std::string::npos) {
      out.push_back({key.substr(0, end), key.substr(end + 1), left});
    }
  }
  std::ranges::sort(out, {}, &Balance::left);
  out.resize(std::min(out.size(), n));
  return out;
}

std::uint32_t RetryBudget::BalanceLeft(std::string_view team,
                                       std::string_view request_class) const {
  const auto it = balances_.find(KeyOf(team, request_class));
  return it == balances_.end() ? limit_ : it->second;
}

const std::string& RetryBudget::KeyOf(std::string_view team,
                                      std::string_view request_class) const {
  key_.assign(team);
  key_.push_back('\0');
  key_.append(request_class);
  return key_;
}

std::uint32_t* RetryBudget::BalanceOf(std::string_view team,
                                      std::string_view request_class) {
  const auto it = balances_.find(KeyOf(team, request_class));
  if (it != balances_.end()) {
    return &it->second;
  }
  if (balances_.size() >= kMaxBalances) {
    key_.clear();
  }
  return &balances_.try_emplace(key_, limit_).first->second;
}

}  // namespace cassiabend
