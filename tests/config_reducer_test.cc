#include <doctest/doctest.h>

#include <algorithm>

#include "cassiabend/core/commit_plan.h"
#include "cassiabend/model/codec.h"
#include "tests/support/config_node.h"
#include "tests/support/configs.h"

namespace cassiabend {
namespace {

using testing::ChangeOf;
using testing::ConfigNode;
using testing::FakeStore;
using testing::RouteTo;
using testing::ServiceOf;

Change PutService(std::uint64_t id, const std::string& name) {
  return ChangeOf(id, {{.action = ServiceOf(name)}});
}

Head HeadOf(const FakeStore& store) {
  REQUIRE(store.Find(kHeadKey) != nullptr);
  return DecodeHead(store.Find(kHeadKey)->value);
}

TEST_CASE("the first change creates version 1 and each later one the next") {
  FakeStore store;
  ConfigNode node(&store);
  const CommitResult first = node.Commit(PutService(1, "catalog"));
  CHECK(first.code == CommitCode::kOk);
  CHECK(first.mark.number == 1);
  const CommitResult second = node.Commit(PutService(2, "orders"));
  CHECK(second.mark.number == 2);
  CHECK(HeadOf(store).mark == second.mark);
  CHECK(HeadOf(store).history.size() == 2);
  REQUIRE(node.published.size() == 2);
  CHECK(node.published[1].snapshot->mark() == second.mark);
  CHECK(node.published[1].delta.base == first.mark);
}

StoreReply Refused() {
  return {.status = StoreStatus::kUnavailable};
}

bool IsHeadWrite(const StoreCall& call) {
  const auto* swap = std::get_if<StoreCompareAndSwap>(&call.request);
  return swap != nullptr && swap->key == kHeadKey;
}

/// \brief Executes the first write of the head and loses the reply; while
/// `*down` is set, the store is unreachable from then on.
ConfigNode::Fault LoseHeadReply(FakeStore* store, bool* down) {
  return [store, down, lost = false](
             const StoreCall& call) mutable -> std::optional<StoreReply> {
    if (lost && *down) {
      return Refused();
    }
    if (lost || !IsHeadWrite(call)) {
      return std::nullopt;
    }
    lost = true;
    (void)store->Execute(call.request, {});
    return StoreReply{.status = StoreStatus::kUnknown};
  };
}

TEST_CASE("a change is checked before anything is written") {
  FakeStore store;
  ConfigNode node(&store);
  node.Commit(PutService(1, "catalog"));
  const auto before = store.entries();
  struct Row {
    Change change;
    CommitCode code;
    const char* path;
  };
  const Row rows[] = {
      {ChangeOf(0, {}), CommitCode::kInvalid, "change.edits"},
      {{.id = {}, .edits = {{.action = ServiceOf("a")}}},
       CommitCode::kInvalid,
       "change.id"},
      {ChangeOf(2, {{.action = ServiceOf("a")}, {.action = ServiceOf("a")}}),
       CommitCode::kInvalid, "services[a]"},
      {ChangeOf(2, {{.action = RouteTo("r", "none")}}), CommitCode::kInvalid,
       "routes[r].service"},
      {ChangeOf(2, {{.action = ItemRef{ItemKind::kRoute, "r"}}}),
       CommitCode::kNotFound, "routes[r]"},
      {ChangeOf(2, {{.action = ServiceOf("catalog"), .expected_revision = 0}}),
       CommitCode::kConflict, "services[catalog]"},
      {ChangeOf(2, {{.action = ServiceOf("new"), .expected_revision = 1}}),
       CommitCode::kConflict, "services[new]"},
  };
  for (const Row& row : rows) {
    const CommitResult result = node.Commit(row.change);
    CAPTURE(row.path);
    CHECK(result.code == row.code);
    CHECK(result.path == row.path);
  }
  CHECK(store.entries() == before);
}

TEST_CASE("a dry run checks the change and writes nothing") {
  FakeStore store;
  ConfigNode node(&store);
  node.Commit(PutService(1, "catalog"));
  const auto before = store.entries();
  const CommitResult result = node.Commit(PutService(2, "orders"), true);
  CHECK(result.code == CommitCode::kOk);
  CHECK(result.mark.number == 2);
  CHECK(store.entries() == before);
  CHECK(node.Commit(PutService(2, "orders")).mark == result.mark);
}

TEST_CASE("the later of two operators' changes conflicts or is rebased") {
  FakeStore store;
  ConfigNode first(&store);
  ConfigNode second(&store);
  first.Commit(PutService(1, "catalog"));
  second.SetNewest(first.newest());
  first.Commit(ChangeOf(
      2, {{.action = Service{"catalog", "club"}, .expected_revision = 1}}));
  const CommitResult conflict = second.Commit(ChangeOf(
      3, {{.action = Service{"catalog", "x"}, .expected_revision = 1}}));
  CHECK(conflict.code == CommitCode::kConflict);
  CHECK(conflict.conflict_number == 2);
  CHECK(conflict.change_id == ChangeId{3, 1});
  // The node has published the version that the refusal is based on.
  REQUIRE(second.published.size() == 1);
  CHECK(second.published[0].snapshot->mark() == HeadOf(store).mark);

  first.Commit(PutService(4, "orders"));
  const CommitResult rebased = second.Commit(PutService(5, "artwork"));
  CHECK(rebased.mark.number == 4);
  CHECK(second.newest()->config().services.size() == 3);
}

TEST_CASE("a lost reply to a head write is resolved by reading the head") {
  FakeStore store;
  ConfigNode node(&store);
  bool down = false;
  node.fault = LoseHeadReply(&store, &down);
  const CommitResult result = node.Commit(PutService(1, "catalog"));
  CHECK(result.code == CommitCode::kOk);
  CHECK(result.mark.number == 1);
  CHECK(HeadOf(store).recent.size() == 1);
  REQUIRE(node.published.size() == 1);
}

TEST_CASE("an outcome that cannot be resolved in time is reported as unknown") {
  FakeStore store;
  ConfigNode node(&store);
  bool down = true;
  node.fault = LoseHeadReply(&store, &down);
  const CommitResult unknown = node.Commit(PutService(1, "catalog"));
  CHECK(unknown.code == CommitCode::kOutcomeUnknown);
  CHECK(unknown.change_id == ChangeId{1, 1});
  down = false;
  // Sent again, the change is found in version 1 and not applied twice.
  const CommitResult again = node.Commit(PutService(1, "catalog"));
  CHECK(again.code == CommitCode::kOk);
  CHECK(again.mark == HeadOf(store).mark);
  CHECK(HeadOf(store).mark.number == 1);
  CHECK(node.newest()->mark() == again.mark);
}

TEST_CASE("a request fails as not accepted when the store is down or silent") {
  for (const bool silent : {false, true}) {
    CAPTURE(silent);
    FakeStore store;
    ConfigNode node(&store);
    node.silent = silent;
    node.fault = [](const StoreCall&) { return Refused(); };
    const CommitResult result = node.Commit(PutService(1, "catalog"));
    CHECK(result.code == CommitCode::kStoreUnavailable);
    CHECK(store.entries().empty());
    // Retries back off: far fewer calls than one per 100 ms.
    CHECK(node.calls < 20);
    node.silent = false;
    node.fault = nullptr;
    CHECK(node.Commit(PutService(1, "catalog")).code == CommitCode::kOk);
  }
}

TEST_CASE("a change that is sent again takes effect once") {
  FakeStore store;
  ConfigNode node(&store);
  const CommitResult first = node.Commit(PutService(1, "catalog"));
  node.Commit(PutService(2, "orders"));
  const CommitResult again = node.Commit(PutService(1, "catalog"));
  CHECK(again.code == CommitCode::kOk);
  CHECK(again.mark == first.mark);
  CHECK(HeadOf(store).mark.number == 2);
}

TEST_CASE("a rollback is a new version with the earlier content") {
  FakeStore store;
  ConfigNode node(&store);
  node.Commit(PutService(1, "catalog"));
  node.Commit(PutService(2, "orders"));
  const CommitResult result =
      node.SendAndWait(RollbackRequested{1, 1, {7, 7}, "ops"});
  CHECK(result.code == CommitCode::kOk);
  CHECK(result.mark.number == 3);
  CHECK(node.newest()->config().services.size() == 1);
  CHECK(node.newest()->config().parent == 2);
  CHECK(node.SendAndWait(RollbackRequested{1, 9, {8, 8}, "ops"}).code ==
        CommitCode::kNotFound);
}

TEST_CASE("history and earlier versions are read") {
  FakeStore store;
  ConfigOptions options;
  options.kept_versions = 2;
  options.remembered_changes = 2;
  ConfigNode node(&store, options);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    node.Commit(PutService(i, "s" + std::to_string(i)));
  }
  CHECK(HeadOf(store).recent.size() == 2);
  node.Send(HistoryRequested{1});
  REQUIRE(node.histories.size() == 1);
  REQUIRE(node.histories[0].entries.size() == 2);
  CHECK(node.histories[0].entries[1].mark.number == 3);
  for (const VersionNumber number : {0, 3, 2}) {
    node.Send(VersionRequested{1, number});
  }
  REQUIRE(node.versions.size() == 3);
  CHECK(node.versions[0].snapshot->config().number == 4);
  CHECK(node.versions[1].snapshot->config().services.size() == 3);
  CHECK(node.versions[2].result.code == CommitCode::kNotFound);
  // The version in force needs no store.
  node.fault = [](const StoreCall&) { return Refused(); };
  node.Send(VersionRequested{1, 4});
  CHECK(node.versions[3].snapshot->config().number == 4);
}

TEST_CASE("no change is committed to a store that is behind the fleet") {
  FakeStore store;
  ConfigNode node(&store);
  node.Commit(PutService(1, "catalog"));
  const FakeStore::Backup copy = store.Save();
  node.Commit(PutService(2, "orders"));
  ConfigNode other(&store);
  other.SetNewest(node.newest());

  SUBCASE("restored older") {
    store.Restore(copy);
  }
  SUBCASE("empty") {
    store.Restore({});
  }
  SUBCASE("another version of the same number") {
    store.Restore(copy);
    ConfigNode stranger(&store);
    stranger.SetNewest(node.published[0].snapshot);
    stranger.Commit(PutService(3, "stranger"));
  }
  const CommitResult refused = other.Commit(PutService(4, "artwork"));
  CHECK(refused.code == CommitCode::kStoreBehind);
  CHECK(refused.reason.find("recover") != std::string::npos);
  const CommitResult recovered =
      other.SendAndWait(RecoverRequested{1, {9, 9}, "ops"});
  CHECK(recovered.code == CommitCode::kOk);
  CHECK(recovered.mark.number == 3);
  CHECK(other.newest()->config().services.size() == 2);
  CHECK(other.published.back().delta.base == node.newest()->mark());
  // The change that the store had lost is still found as accepted.
  CHECK(other.Commit(PutService(2, "orders")).mark.number == 2);
  CHECK(HeadOf(store).mark.number == 3);
  CHECK(other.Commit(PutService(4, "artwork")).mark.number == 4);
}

TEST_CASE("a recovery needs a version, and a store that is not ahead") {
  FakeStore store;
  ConfigNode node(&store);
  CHECK(node.SendAndWait(RecoverRequested{1, {9, 9}, "ops"}).code ==
        CommitCode::kNotFound);
  node.Commit(PutService(1, "catalog"));
  ConfigNode other(&store);
  other.SetNewest(node.newest());
  node.Commit(PutService(2, "orders"));
  CHECK(other.SendAndWait(RecoverRequested{1, {9, 9}, "ops"}).code ==
        CommitCode::kConflict);
}

TEST_CASE("a node without a version loads the store's before it commits") {
  FakeStore store;
  ConfigNode node(&store);
  node.Commit(PutService(1, "catalog"));
  ConfigNode fresh(&store);
  CHECK(fresh.Commit(PutService(2, "orders")).code == CommitCode::kBusy);
  REQUIRE(fresh.published.size() == 1);
  CHECK(fresh.Commit(PutService(2, "orders")).mark.number == 2);
}

TEST_CASE("a large version is stored in several values") {
  FakeStore store;
  ConfigNode node(&store);
  Change change = PutService(1, "catalog");
  for (int i = 0; i < 4'000; ++i) {
    Route route = RouteTo("r" + std::to_string(i), "catalog");
    route.host = std::string(300, 'a') + std::to_string(i);
    change.edits.push_back({.action = route});
  }
  CHECK(node.Commit(change).code == CommitCode::kOk);
  CHECK(HeadOf(store).value_keys.size() == 2);
  CHECK(std::ranges::all_of(store.entries(), [](const auto& it) {
    return it.second.value.size() <= kStoreValueLimitBytes;
  }));
  ConfigNode fresh(&store);
  fresh.Send(VersionRequested{1, 0});
  REQUIRE(fresh.versions.size() == 1);
  CHECK(fresh.versions[0].snapshot->config() == node.newest()->config());
}

TEST_CASE("no change is committed on top of a damaged value or head") {
  FakeStore store;
  ConfigNode node(&store);
  node.Commit(PutService(1, "catalog"));
  const std::string key = HeadOf(store).value_keys[0];
  std::string broken;
  SUBCASE("another version's value") {
    Config config = node.newest()->config();
    config.author = "somebody else";
    broken = EncodeConfig(config);
  }
  SUBCASE("no message") {
    broken = "broken";
  }
  (void)store.Execute(
      StoreCompareAndSwap{key, store.Find(key)->revision, broken}, {});
  ConfigNode fresh(&store);
  CHECK(fresh.Commit(PutService(2, "orders")).code ==
        CommitCode::kStoreUnavailable);
  fresh.Send(VersionRequested{1, 1});
  CHECK(fresh.versions[0].result.code == CommitCode::kNotFound);
  CHECK(fresh.published.empty());
  // A node that has the version in force can still commit.
  CHECK(node.Commit(PutService(2, "orders")).mark.number == 2);

  (void)store.Execute(
      StoreCompareAndSwap{kHeadKey, store.Find(kHeadKey)->revision, "x"}, {});
  CHECK(node.Commit(PutService(3, "artwork")).code ==
        CommitCode::kStoreUnavailable);
  CHECK(node.SendAndWait(RecoverRequested{1, {9, 9}, "ops"}).mark.number == 3);
  CHECK(node.Commit(PutService(3, "artwork")).mark.number == 4);
}

TEST_CASE("values lost by a store restore are written again") {
  FakeStore store;
  ConfigNode node(&store);
  node.Commit(PutService(1, "catalog"));
  FakeStore::Backup copy = store.Save();
  bool keeps_delta = false;
  SUBCASE("all values") {}
  SUBCASE("only the whole value") {
    keeps_delta = true;
  }
  node.fault = [&](const StoreCall& call) -> std::optional<StoreReply> {
    const auto* swap = std::get_if<StoreCompareAndSwap>(&call.request);
    if (keeps_delta && swap != nullptr && swap->key.starts_with(kDeltaPrefix)) {
      copy.entries[swap->key] = {swap->key, swap->value, ++copy.revision};
    }
    if (IsHeadWrite(call)) {
      store.Restore(copy);
    }
    return std::nullopt;
  };
  const CommitResult result = node.Commit(PutService(2, "orders"));
  CHECK(result.code == CommitCode::kOk);
  CHECK(store.Find(HeadOf(store).delta_key) != nullptr);
  const StoreEntry* value = store.Find(HeadOf(store).value_keys[0]);
  REQUIRE(value != nullptr);
  CHECK(MarkOf(DecodeConfig(value->value)) == result.mark);
}

TEST_CASE("a head write is not retried against a different head") {
  // A store that was restored and then written to has a different head at the
  // revision that the write expects.
  FakeStore store;
  ConfigNode node(&store);
  node.Commit(PutService(1, "catalog"));
  const FakeStore::Backup before = store.Save();
  const StoreRevision revision = store.Find(kHeadKey)->revision;
  ConfigNode other(&store);
  other.SetNewest(node.newest());
  other.Commit(PutService(2, "orders"));
  FakeStore::Backup after = store.Save();
  after.entries[kHeadKey].revision = revision;
  store.Restore(before);
  bool refused = false;
  node.fault = [&](const StoreCall& call) -> std::optional<StoreReply> {
    if (refused || !IsHeadWrite(call)) {
      return std::nullopt;
    }
    refused = true;
    store.Restore(after);
    return Refused();
  };
  const CommitResult result = node.Commit(PutService(3, "artwork"));
  CHECK(result.code == CommitCode::kOk);
  CHECK(result.mark.number == 3);
  CHECK(node.newest()->config().services.size() == 3);
}

TEST_CASE("a newer version in the fleet during a commit shows a store behind") {
  FakeStore store;
  ConfigNode node(&store);
  node.Commit(PutService(1, "catalog"));
  const Config next =
      ApplyEdits(node.newest()->config(), {{.action = ServiceOf("x")}}, {}, "");
  node.fault = [&](const StoreCall& call) -> std::optional<StoreReply> {
    if (std::holds_alternative<StoreCompareAndSwap>(call.request)) {
      node.SetNewest(RefPtr<const Snapshot>(new Snapshot(next)));
    }
    return std::nullopt;
  };
  const int before = node.calls;
  const CommitResult result = node.Commit(PutService(2, "orders"));
  CHECK(result.code == CommitCode::kStoreBehind);
  CHECK(node.calls - before < 10);
}

TEST_CASE("a recovery replaces a newer version that cannot be loaded") {
  FakeStore store;
  ConfigNode node(&store);
  node.Commit(PutService(1, "catalog"));
  ConfigNode other(&store);
  other.SetNewest(node.newest());
  node.Commit(PutService(2, "orders"));
  store.Erase(HeadOf(store).value_keys[0]);
  CHECK(other.Commit(PutService(3, "artwork")).code ==
        CommitCode::kStoreUnavailable);
  CHECK(other.SendAndWait(RecoverRequested{1, {9, 9}, "ops"}).mark.number == 3);
  CHECK(other.Commit(PutService(3, "artwork")).mark.number == 4);
}

TEST_CASE("waiting changes are limited in number and in time") {
  FakeStore store;
  ConfigOptions options;
  options.max_waiting_changes = 3;
  ConfigNode node(&store, options);
  node.silent = true;
  for (std::uint64_t i = 1; i <= 5; ++i) {
    node.Send(CommitRequested{i, PutService(i, "s" + std::to_string(i))});
  }
  REQUIRE(node.commits.size() == 1);
  CHECK(node.commits[0].request == 5);
  CHECK(node.commits[0].result.code == CommitCode::kBusy);
  node.RunFor(options.commit_timeout + Milliseconds(200));
  REQUIRE(node.commits.size() == 5);
  CHECK(node.commits[1].result.code == CommitCode::kStoreUnavailable);
  CHECK(node.commits[4].result.code != CommitCode::kOk);
  CHECK(store.entries().empty());
}

TEST_CASE("a reply to an earlier transmission is dropped") {
  FakeStore store;
  ConfigNode node(&store);
  std::vector<StoreCall> calls;
  node.fault = [&calls](const StoreCall& call) -> std::optional<StoreReply> {
    calls.push_back(call);
    return Refused();
  };
  node.Send(CommitRequested{1, PutService(1, "catalog")});
  node.fault = nullptr;
  for (int i = 0; i < 3; ++i) {
    node.Send(StoreReplied{calls[0].id, {.status = StoreStatus::kOk}});
  }
  node.RunFor(Seconds(2));
  REQUIRE(node.commits.size() == 1);
  CHECK(node.commits[0].result.code == CommitCode::kOk);
  CHECK(HeadOf(store).recent.size() == 1);
}

}  // namespace
}  // namespace cassiabend
