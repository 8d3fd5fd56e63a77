#include "cassiabend/core/rollout/rollout_table.h"

#include <algorithm>
#include <utility>

namespace cassiabend {
namespace {

/// Most roll-outs that one datagram tells of; those that run come first.
constexpr std::size_t kMaxNews = 6;

Milliseconds AgeOf(MonoTime at, MonoTime now) {
  return std::chrono::ceil<Milliseconds>(now - at);
}

}  // namespace

const RolloutTable::Entry* RolloutTable::Find(
    const std::string& service) const {
  const auto it = entries_.find(service);
  return it == entries_.end() ? nullptr : &it->second;
}

bool RolloutTable::has_running() const noexcept {
  return std::ranges::any_of(
      entries_, [](const auto& it) { return it.second.rollout.is_running(); });
}

void RolloutTable::Update(const FleetContext& context, const Rollout& rollout) {
  Merge(context, {{rollout, Milliseconds(0), std::nullopt}});
}

void RolloutTable::Merge(const FleetContext& context,
                         const std::vector<RolloutNews>& news) {
  std::vector<RolloutNews> changed;
  for (const RolloutNews& it : news) {
    const std::string& service = it.rollout.order.service;
    const Entry* before = Find(service);
    const bool is_known = before != nullptr;
    const Rollout known = is_known ? before->rollout : Rollout{};
    const auto vouched_at = is_known ? before->vouched_at : std::nullopt;
    if (!Apply(context, it)) {
      continue;
    }
    const Entry& entry = entries_.at(service);
    const bool is_change = !is_known || known != entry.rollout;
    changes_ += is_change ? 1 : 0;
    if (is_change || vouched_at != entry.vouched_at) {
      changed.push_back(NewsOf(context.now(), entry));
    }
  }
  if (!changed.empty()) {
    context.Emit(RolloutsChanged{std::move(changed)});
  }
}

/// \returns Whether the news are not older than what is known.
bool RolloutTable::Apply(const FleetContext& context, const RolloutNews& news) {
  const MonoTime now = context.now();
  const auto [it, is_new] = entries_.try_emplace(news.rollout.order.service);
  Entry& entry = it->second;
  if (!is_new && Supersedes(entry.rollout, news.rollout)) {
    return false;
  }
  const bool is_other_order =
      is_new || entry.rollout.order_revision != news.rollout.order_revision;
  if (is_new || Supersedes(news.rollout, entry.rollout)) {
    const Milliseconds duration = entry.rollout.order.duration;
    entry.rollout = news.rollout;
    if (!is_other_order && news.rollout.order.duration == Milliseconds(0)) {
      entry.rollout.order.duration = duration;
    }
    entry.vouched_at.reset();
    entry.changed_at = now;
  }
  const MonoTime ordered_at = now - news.order_age;
  entry.ordered_at =
      is_other_order ? ordered_at : std::min(entry.ordered_at, ordered_at);
  if (news.vouched_age) {
    const MonoTime at = now - *news.vouched_age;
    entry.vouched_at = std::max(entry.vouched_at.value_or(at), at);
  }
  return true;
}

void RolloutTable::Vouch(const FleetContext& context,
                         const std::string& service) {
  const auto it = entries_.find(service);
  if (it == entries_.end()) {
    return;
  }
  it->second.vouched_at = context.now();
  context.Emit(RolloutsChanged{{NewsOf(context.now(), it->second)}});
}

RolloutNews RolloutTable::NewsOf(MonoTime now, const Entry& entry) {
  RolloutNews news{entry.rollout, AgeOf(entry.ordered_at, now), std::nullopt};
  if (entry.vouched_at) {
    news.vouched_age = AgeOf(*entry.vouched_at, now);
  }
  return news;
}

std::vector<RolloutNews> RolloutTable::News(MonoTime now) const {
  std::vector<RolloutNews> news;
  for (const auto& [service, entry] : entries_) {
    news.push_back(NewsOf(now, entry));
  }
  std::ranges::stable_sort(news, std::greater<>(), [](const RolloutNews& it) {
    return it.rollout.is_running();
  });
  news.resize(std::min(news.size(), kMaxNews));
  return news;
}

}  // namespace cassiabend
