#include <doctest/doctest.h>

#include <algorithm>

#include "cassiabend/base/error.h"
#include "cassiabend/core/cleaner.h"
#include "cassiabend/model/codec.h"
#include "tests/support/config_node.h"
#include "tests/support/configs.h"

namespace cassiabend {
namespace {

using testing::ChangeOf;
using testing::ConfigNode;
using testing::FakeStore;
using testing::ServiceOf;

Change PutService(std::uint64_t id, const std::string& name) {
  return ChangeOf(id, {{.action = ServiceOf(name)}});
}

Head HeadOf(const FakeStore& store) {
  REQUIRE(store.Find(kHeadKey) != nullptr);
  return DecodeHead(store.Find(kHeadKey)->value);
}

/// \returns The keys of values and deltas in the store.
std::set<std::string> StoredValues(const FakeStore& store) {
  std::set<std::string> out;
  for (const auto& [key, entry] : store.entries()) {
    if (key.starts_with(kValuePrefix) || key.starts_with(kDeltaPrefix)) {
      out.insert(key);
    }
  }
  return out;
}

std::size_t CountRecordedKeys(const FakeStore& store) {
  std::size_t n = 0;
  for (std::uint32_t shard = 0; shard < kInventoryShards; ++shard) {
    const StoreEntry* entry = store.Find(InventoryKey(shard));
    n += entry == nullptr ? 0 : DecodeInventory(entry->value).size();
  }
  return n;
}

ConfigOptions QuickCleanup() {
  ConfigOptions out;
  out.kept_versions = 2;
  out.cleanup_period = Milliseconds(1'000);
  out.cleanup_grace = Milliseconds(60'000);
  return out;
}

/// \brief Commits a change and waits for a cleanup pass over each shard of the
/// inventory.
void CommitAndClean(ConfigNode* node, std::uint64_t id) {
  REQUIRE(node->Commit(PutService(id, "s" + std::to_string(id))).code ==
          CommitCode::kOk);
  node->RunFor(Milliseconds(10'000));
}

/// \returns Whether every value that the head refers to is in the store.
bool IsHeadComplete(const FakeStore& store) {
  return std::ranges::all_of(ReferencedKeys(HeadOf(store)),
                             [&store](const std::string& key) {
                               return key.empty() || store.Find(key) != nullptr;
                             });
}

TEST_CASE("an inventory survives encoding and decoding") {
  const Inventory inventory = {{"/a", 7, WallTime(Milliseconds(5))},
                               {"/b", 0, {}}};
  CHECK(DecodeInventory(EncodeInventory(inventory)) == inventory);
  CHECK_THROWS_AS((void)DecodeInventory("{}"), ModelError);
  CHECK_THROWS_AS((void)DecodeInventory(R"([{"head_revision": 1}])"),
                  ModelError);
}

TEST_CASE("only unreferenced values are deleted, after the grace period") {
  FakeStore store;
  ConfigNode node(&store, QuickCleanup());
  for (std::uint64_t i = 1; i <= 4; ++i) {
    CommitAndClean(&node, i);
  }
  // Versions 1 and 2 are out of the history, but still within the grace
  // period.
  CHECK(StoredValues(store).size() == 7);
  node.RunFor(Milliseconds(70'000));
  for (std::uint64_t i = 5; i <= 20; ++i) {
    CommitAndClean(&node, i);
  }
  node.RunFor(Milliseconds(70'000));
  CommitAndClean(&node, 21);
  CommitAndClean(&node, 22);
  CHECK(IsHeadComplete(store));
  // The kept versions with their deltas, and values in their grace period.
  CHECK(StoredValues(store).size() <= 8);
  CHECK(CountRecordedKeys(store) == StoredValues(store).size());
}

TEST_CASE(
    "values of a crashed committer are deleted once the head has changed") {
  FakeStore store;
  ConfigNode node(&store, QuickCleanup());
  node.Commit(PutService(1, "catalog"));
  std::set<std::string> leftover_keys;
  {
    ConfigNode crashed(&store, QuickCleanup());
    crashed.SetNewest(node.newest());
    crashed.fault = [](const StoreCall& call) -> std::optional<StoreReply> {
      const auto* swap = std::get_if<StoreCompareAndSwap>(&call.request);
      if (swap != nullptr && swap->key == kHeadKey) {
        return StoreReply{.status = StoreStatus::kUnavailable};
      }
      return std::nullopt;
    };
    const auto before = StoredValues(store);
    crashed.Send(CommitRequested{1, PutService(2, "orders")});
    std::ranges::set_difference(
        StoredValues(store), before,
        std::inserter(leftover_keys, leftover_keys.end()));
  }
  REQUIRE(leftover_keys.size() == 2);
  for (std::uint64_t i = 3; i <= 6; ++i) {
    CommitAndClean(&node, i);
    node.RunFor(Milliseconds(70'000));
  }
  for (const std::string& key : leftover_keys) {
    CHECK(store.Find(key) == nullptr);
  }
  CHECK(IsHeadComplete(store));
}

TEST_CASE("a store that is behind the fleet is not cleaned up") {
  FakeStore store;
  ConfigNode node(&store, QuickCleanup());
  CommitAndClean(&node, 1);
  node.Commit(PutService(2, "s2"));
  const FakeStore::Backup backup = store.Save();
  node.Commit(PutService(3, "s3"));
  store.Restore(backup);
  const auto before = store.entries();
  node.RunFor(Milliseconds(300'000));
  CHECK(store.entries() == before);
}

/// \brief Deletes every value that the head does not refer to at this moment,
/// as a cleanup without an inventory would.
void CleanWithoutInventory(FakeStore* store) {
  const std::set<std::string> referenced = ReferencedKeys(HeadOf(*store));
  for (const std::string& key : StoredValues(*store)) {
    const StoreRevision seen = store->Find(key)->revision;
    if (!referenced.contains(key)) {
      (void)store->Execute(StoreCompareAndDelete{key, seen}, {});
    }
  }
}

/// \brief Reproduces the race in AWS's report on the DynamoDB disruption of
/// October 2025: a writer is delayed, a cleanup mistakes the values that it has
/// prepared for old ones and deletes them, and the writer then makes them the
/// current version. The writer stops there, so that it cannot write the values
/// again.
/// \returns Whether every value that the head refers to is in the store
/// afterwards.
bool SurvivesDelayedWriter(const std::function<void(FakeStore*)>& clean_up) {
  FakeStore store;
  ConfigNode writer(&store, QuickCleanup());
  writer.Commit(PutService(1, "catalog"));
  writer.fault = [&](const StoreCall& call) -> std::optional<StoreReply> {
    const auto* swap = std::get_if<StoreCompareAndSwap>(&call.request);
    if (swap != nullptr && swap->key == kHeadKey) {
      clean_up(&store);
      (void)store.Execute(call.request, {});
      writer.silent = true;
    }
    return std::nullopt;
  };
  writer.Send(CommitRequested{1, PutService(2, "orders")});
  REQUIRE(HeadOf(store).mark.number == 2);
  return IsHeadComplete(store);
}

/// \brief Runs passes of a `Cleaner` over all of the inventory, without a grace
/// period.
void CleanWithInventory(FakeStore* store) {
  ConfigEnv env{.options = QuickCleanup(), .random = Random(1)};
  env.options.cleanup_grace = Milliseconds(0);
  Cleaner cleaner(&env);
  ManualClock clock(Instant{MonoTime(Seconds(1)), WallTime(Seconds(1))});
  for (int i = 0; i < 100; ++i) {
    clock.Advance(Seconds(1));
    std::vector<ConfigEffect> out;
    cleaner.SchedulePasses({clock.Now(), &out});
    cleaner.Tick({clock.Now(), &out});
    for (std::size_t j = 0; j < out.size(); ++j) {
      const StoreCall call = std::get<StoreCall>(out[j]);
      const StoreReply reply = store->Execute(call.request, {});
      cleaner.OnReply({clock.Now(), &out}, {call.id, reply});
    }
  }
}

TEST_CASE("the values of a delayed writer survive the cleanup") {
  CHECK(SurvivesDelayedWriter([](FakeStore*) {}));
  CHECK_FALSE(SurvivesDelayedWriter(CleanWithoutInventory));
  CHECK(SurvivesDelayedWriter(CleanWithInventory));
}

TEST_CASE("a cleanup delayed before its delete removes no referenced value") {
  // The cleaner stops between its last check and its delete while other nodes
  // commit any number of changes: the value that it deletes is still
  // unreferenced.
  for (std::uint64_t commits = 0; commits < 5; ++commits) {
    FakeStore store;
    ConfigNode node(&store, QuickCleanup());
    for (std::uint64_t i = 1; i <= 4; ++i) {
      node.Commit(PutService(i, "s" + std::to_string(i)));
    }
    bool delayed = false;
    node.fault = [&](const StoreCall& call) -> std::optional<StoreReply> {
      if (std::holds_alternative<StoreCompareAndDelete>(call.request) &&
          !delayed) {
        delayed = true;
        ConfigNode other(&store, QuickCleanup());
        other.SetNewest(node.newest());
        for (std::uint64_t i = 0; i < commits; ++i) {
          other.Commit(PutService(100 + i, "t" + std::to_string(i)));
        }
      }
      return std::nullopt;
    };
    for (std::uint64_t i = 5; i <= 12 && !delayed; ++i) {
      node.Commit(PutService(i, "s" + std::to_string(i)));
      node.RunFor(Milliseconds(70'000));
    }
    CHECK(delayed);
    CHECK(IsHeadComplete(store));
  }
}

}  // namespace
}  // namespace cassiabend
