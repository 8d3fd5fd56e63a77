#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

#include "cassiabend/core/teams/unknown_key.h"
#include "tests/call_support.h"

namespace cassiabend {
namespace {

using testing::CallNode;
using testing::MakeConfig;
using testing::MakeMember;
using testing::MakeMetadata;

constexpr char kKey[] = "maj3nr26tta828m82thh";
constexpr char kNewKey[] = "kmgjqnirth5mgjy5rcpi";

Team TeamWith(const std::string& name, const std::vector<std::string>& keys) {
  Team out;
  out.name = name;
  for (const std::string& it : keys) {
    out.key_digests.push_back(DigestOfKey(it));
  }
  std::ranges::sort(out.key_digests);
  return out;
}

/// \returns A version in which "red" holds `keys` and the route "status" is
/// public if so stated.
RefPtr<const Snapshot> VersionWith(VersionNumber number,
                                   const std::vector<std::string>& keys,
                                   bool is_public = false) {
  Config config = MakeConfig(number);
  config.services[0].team.clear();
  for (Route& it : config.routes) {
    it.team.clear();
    it.priority = 3;
  }
  config.routes[2].is_public = is_public;
  Team red = TeamWith("red", keys);
  red.priority = 1;
  config.teams = {TeamWith("blue", {"b"}), red};
  return RefPtr<const Snapshot>(new Snapshot(config));
}

CallMetadata CallWith(const std::string& key) {
  CallMetadata out = MakeMetadata("status");
  out.team = "forged";
  if (!key.empty()) {
    out.key = DigestOfKey(key);
  }
  out.deadline = Milliseconds(2'000);
  return out;
}

/// \brief A node that serves calls with the given version.
class TeamNode : public CallNode {
 public:
  explicit TeamNode(const RefPtr<const Snapshot>& version,
                    const CallOptions& options = {})
      : CallNode(MakeMember(1), options) {
    Do(ApplyVersion{version});
    Confirm();
    Do(MembersChanged{{MakeMember(2)}});
    Do(ReadinessChanged{true, ""});
  }

  void Confirm() { Do(HeadConfirmed{now().mono}); }
  /// \brief Sends a call and confirms the version in force after it.
  void Call(CallId id, const std::string& key) {
    Do(CallArrived{id, CallWith(key)});
  }
  [[nodiscard]] std::string Refused() const {
    const auto refused = Only<AnswerNotRun>();
    return refused ? std::string(NameOf(refused->reason)) : "";
  }
};

TEST_CASE("the team that holds the key replaces the stated one") {
  TeamNode node(VersionWith(1, {kKey}));
  node.Call(1, kKey);
  const auto sent = node.Only<SendAttempt>();
  REQUIRE(sent);
  CHECK(sent->request.team == "red");
  CHECK(sent->request.has_verified_team);
  CHECK(sent->request.team_priority == 1);
  CHECK(sent->request.priority == 3);
}

TEST_CASE("a team without a priority ranks by the route's") {
  TeamNode node(VersionWith(1, {kKey}));
  node.Call(1, "b");
  const auto sent = node.Only<SendAttempt>();
  REQUIRE(sent);
  CHECK(sent->request.team == "blue");
  CHECK(sent->request.team_priority == 3);
}

TEST_CASE("a public route needs no key and its calls have no team") {
  TeamNode node(VersionWith(1, {kKey}, true));
  for (const char* key : {"", kKey, "unknown"}) {
    CAPTURE(key);
    node.Call(*key == '\0' ? 1 : static_cast<CallId>(*key), key);
    const auto sent = node.Only<SendAttempt>();
    REQUIRE(sent);
    CHECK(sent->request.team.empty());
    CHECK(sent->request.has_verified_team);
  }
}

TEST_CASE("without teams the stated team holds and no key is needed") {
  CallNode node(MakeMember(1));
  node.MakeReady({MakeMember(2)});
  CallMetadata call = MakeMetadata("status");
  call.key = DigestOfKey("any");
  node.Do(CallArrived{1, call});
  const auto sent = node.Only<SendAttempt>();
  REQUIRE(sent);
  CHECK(sent->request.team == testing::kCallerTeam);
  CHECK_FALSE(sent->request.has_verified_team);
  CHECK(sent->request.team_priority == 0);
}

TEST_CASE("a node without a version never refuses a key as unknown") {
  CallNode node(MakeMember(1));
  node.Do(CallArrived{1, CallWith(kKey)});
  const auto refused = node.Only<AnswerNotRun>();
  REQUIRE(refused);
  CHECK(refused->reason == NotRunReason::kNotReady);
}

TEST_CASE("a missing or unknown key is refused once the version is confirmed") {
  for (const char* key : {"", "unknown"}) {
    CAPTURE(key);
    TeamNode node(VersionWith(1, {kKey}));
    node.Advance(Milliseconds(10));
    node.Call(1, key);
    CHECK(node.effects().empty());
    node.Advance(Milliseconds(50));
    node.Confirm();
    CHECK(node.Refused() == "unknown_key");
    const auto ended = node.Only<CallEnded>();
    REQUIRE(ended);
    CHECK(ended->team.empty());
    CHECK(node.Only<AnswerNotRun>()->retry_after == Milliseconds(0));
    CHECK(node.counts().calls == 0);
  }
}

TEST_CASE("a call with a new key waits for the version that has the key") {
  TeamNode node(VersionWith(1, {kKey}));
  node.Advance(Milliseconds(10));
  node.Call(1, kNewKey);
  CHECK(node.effects().empty());
  node.Advance(Milliseconds(200));
  node.Do(ApplyVersion{VersionWith(2, {kKey, kNewKey})});
  const auto sent = node.Only<SendAttempt>();
  REQUIRE(sent);
  CHECK(sent->request.team == "red");
  CHECK(sent->request.config_number == 2);
  // A confirmation that follows finds nothing that waits.
  node.Advance(Milliseconds(1));
  node.Confirm();
  CHECK(node.effects().empty());
}

TEST_CASE("a key that was taken away is refused with the next version") {
  TeamNode node(VersionWith(1, {kKey, kNewKey}));
  node.Call(1, kNewKey);
  CHECK(node.Only<SendAttempt>());
  node.Do(ApplyVersion{VersionWith(2, {kKey})});
  node.Confirm();
  node.Call(2, kNewKey);
  CHECK(node.Refused() == "unknown_key");
}

TEST_CASE("a node that may be behind says so instead of unknown") {
  CallOptions options;
  options.unknown_key_age = Milliseconds(3'000);
  TeamNode node(VersionWith(1, {kKey}), options);
  node.Advance(Milliseconds(2'000));
  node.Call(1, "unknown");
  // A quarter of the caller's time.
  node.Tick(Milliseconds(499));
  CHECK(node.effects().empty());
  node.Tick(Milliseconds(1));
  CHECK(node.Refused() == "unknown_key");
  node.Advance(Milliseconds(500));
  node.Call(2, "unknown");
  node.Tick(Milliseconds(500));
  CHECK(node.Refused() == "stale_configuration");
  CHECK(node.Only<AnswerNotRun>()->retry_after >= Milliseconds(1'000));
}

TEST_CASE("calls that wait for their keys are bounded in number") {
  TeamNode node(VersionWith(1, {kKey}));
  node.Advance(Milliseconds(10));
  for (CallId id = 1; id <= 300; ++id) {
    node.Call(id, "unknown");
    CHECK(node.effects().empty() == (id <= 256));
  }
  CHECK(node.counts().calls == 256);
}

TEST_CASE("keyed calls end with the confirmation where the settings say so") {
  CallOptions options;
  options.keyed_call_age = Milliseconds(5'000);
  TeamNode node(VersionWith(1, {kKey}, true), options);
  CallMetadata keyed = CallWith(kKey);
  keyed.path = "/orders";
  node.Advance(Milliseconds(5'000));
  node.Do(CallArrived{1, keyed});
  CHECK(node.Only<SendAttempt>());
  node.Advance(Milliseconds(1));
  node.Do(CallArrived{2, keyed});
  CHECK(node.Refused() == "stale_configuration");
  // Public routes go on.
  node.Call(3, "");
  CHECK(node.Only<SendAttempt>());
  TeamNode open(VersionWith(1, {kKey}));
  open.Advance(Seconds(3'600));
  open.Call(1, kKey);
  CHECK(open.Only<SendAttempt>());
}

TEST_CASE("finding a team takes the same work with few and many teams") {
  // A look-up visits one bucket of the version's index, which has the same
  // keys and hasher as this one.
  for (const std::size_t teams : {73U, 10'000U}) {
    CAPTURE(teams);
    Config config = MakeConfig();
    std::unordered_map<KeyDigest, std::size_t, Id128Hasher> index;
    for (std::size_t i = 0; i < teams; ++i) {
      const std::string name = "team-" + std::to_string(100'000 + i);
      config.teams.push_back(TeamWith(name, {"key of " + name}));
      index.emplace(config.teams.back().key_digests.front(), i);
    }
    const Snapshot snapshot(config);
    for (const Team& it : snapshot.config().teams) {
      CHECK(snapshot.TeamByKey(it.key_digests.front()) == &it);
    }
    CHECK(snapshot.TeamByKey(DigestOfKey("none")) == nullptr);
    std::size_t longest = 0;
    for (std::size_t i = 0; i < index.bucket_count(); ++i) {
      longest = std::max(longest, index.bucket_size(i));
    }
    CHECK(longest <= 10);
  }
}

}  // namespace
}  // namespace cassiabend
