#include "cassiabend/ctl/convergence.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <map>
#include <tuple>

#include "cassiabend/ctl/text_table.h"

namespace cassiabend {
namespace {

constexpr std::size_t kMaxListedMembers = 10;

constexpr std::string_view kStatusNames[] = {"alive", "suspect", "dead",
                                             "left"};
constexpr std::string_view kUpstreamNames[] = {"none", "warming", "serving",
                                               "draining"};

/// A suspect that has not been heard from for this long counts as unreachable.
/// Its status alone is not enough: members of a zone that is cut off stay
/// suspect until the zone is back.
constexpr Milliseconds kSuspectUnreachableAfter{5'000};

bool IsReachable(const MemberView& view) noexcept {
  if (view.member.status != MemberStatus::kSuspect) {
    return view.member.status == MemberStatus::kAlive;
  }
  return view.mark_age && *view.mark_age < kSuspectUnreachableAfter;
}

boost::json::value AgeToJson(const std::optional<Milliseconds>& age) {
  return age ? boost::json::value(age->count()) : nullptr;
}

std::string AgeToText(const std::optional<Milliseconds>& age) {
  return age ? std::to_string(age->count()) + " ms" : "never";
}

/// \brief The nodes of one zone that have the same version in force.
struct VersionGroup {
  std::size_t nodes = 0;
  /// Largest age of a confirmation; unset when a node has none.
  std::optional<Milliseconds> oldest_confirmation = Milliseconds(0);
};

void AddToGroup(const MemberView& view, VersionGroup* group) {
  ++group->nodes;
  if (!view.confirmed_age || !group->oldest_confirmation) {
    group->oldest_confirmation.reset();
    return;
  }
  group->oldest_confirmation =
      std::max(*group->oldest_confirmation, *view.confirmed_age);
}

std::string GroupsToText(const FleetStatus& status) {
  std::map<std::tuple<std::string, std::string, VersionNumber>, VersionGroup>
      groups;
  for (const MemberView& it : status.members) {
    if (IsReachable(it)) {
      AddToGroup(it,
                 &groups[{it.member.region, it.member.zone, it.mark.number}]);
    }
  }
  TextTable table(
      {"REGION", "ZONE", "VERSION", "NODES", "OLDEST CONFIRMATION"});
  for (const auto& [key, group] : groups) {
    const auto& [region, zone, version] = key;
    table.AddRow({region, zone, std::to_string(version),
                  std::to_string(group.nodes),
                  AgeToText(group.oldest_confirmation)});
  }
  return table.ToString();
}

}  // namespace

Convergence ConvergenceOf(const FleetStatus& status, VersionNumber number) {
  Convergence out;
  for (const MemberView& it : status.members) {
    if (it.member.status == MemberStatus::kLeft) {
      continue;
    }
    if (it.mark.number >= number) {
      ++out.in_force;
    } else if (IsReachable(it)) {
      out.behind.push_back(it);
    } else {
      out.unreachable.push_back(it);
    }
  }
  return out;
}

boost::json::object StatusToJson(const FleetStatus& status) {
  boost::json::array nodes;
  for (const MemberView& it : status.members) {
    nodes.push_back(
        {{"node", ToString(it.member.id)},
         {"region", it.member.region},
         {"zone", it.member.zone},
         {"service", it.member.service},
         {"status", kStatusNames[static_cast<std::size_t>(it.member.status)]},
         {"upstream",
          kUpstreamNames[static_cast<std::size_t>(it.member.upstream_state)]},
         {"version", it.mark.number},
         {"hash", ToHex(it.mark.hash)},
         {"confirmed_age_ms", AgeToJson(it.confirmed_age)},
         {"heard_age_ms", AgeToJson(it.mark_age)}});
  }
  return {{"version", status.mark.number},
          {"hash", ToHex(status.mark.hash)},
          {"nodes", std::move(nodes)}};
}

std::string StatusToText(const FleetStatus& status) {
  std::string out = "version " + std::to_string(status.mark.number) + " " +
                    ToHex(status.mark.hash) + "\n\n" + GroupsToText(status);
  const Convergence now = ConvergenceOf(status, status.mark.number);
  if (!now.behind.empty()) {
    out += "\nbehind: " + FormatMembers(now.behind) + "\n";
  }
  if (!now.unreachable.empty()) {
    out += "\nunreachable: " + FormatMembers(now.unreachable) + "\n";
  }
  return out;
}

std::string FormatMembers(const std::vector<MemberView>& members) {
  std::string out;
  for (std::size_t i = 0; i < std::min(members.size(), kMaxListedMembers);
       ++i) {
    const MemberView& it = members[i];
    out += (i == 0 ? "" : ", ") + ToString(it.member.id) + " (" +
           it.member.zone + ", version " + std::to_string(it.mark.number) + ")";
  }
  if (members.size() > kMaxListedMembers) {
    out +=
        " and " + std::to_string(members.size() - kMaxListedMembers) + " more";
  }
  return out;
}

}  // namespace cassiabend
