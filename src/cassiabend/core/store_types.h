#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cassiabend/base/time.h"

namespace cassiabend {

using StoreRevision = std::int64_t;
using LeaseId = std::int64_t;

/// \brief One key of the store with the revision that last wrote it.
struct StoreEntry {
  std::string key;
  std::string value;
  StoreRevision revision = 0;

  [[nodiscard]] bool operator==(const StoreEntry&) const = default;
};

/// \brief Reads one key.
struct StoreGet {
  std::string key;
};

/// \brief Writes one key if its revision is `expected`; 0 means absent.
struct StoreCompareAndSwap {
  std::string key;
  StoreRevision expected = 0;
  std::string value;
  /// The key goes when this lease ends; 0 for none.
  LeaseId lease = 0;
};

/// \brief Writes one key, whatever its revision.
struct StorePut {
  std::string key;
  std::string value;
  /// The key goes when this lease ends; 0 for none.
  LeaseId lease = 0;
};

/// \brief Reads the first page of the keys that begin with `prefix`.
struct StoreList {
  std::string prefix;
};

/// \brief Deletes one key if its revision is `expected`.
struct StoreCompareAndDelete {
  std::string key;
  StoreRevision expected = 0;
};

/// \brief Waits until the key has a revision above `after`, or `wait` is over.
struct StoreWatch {
  std::string key;
  StoreRevision after = 0;
  Milliseconds wait{0};
};

struct StoreLeaseGrant {
  Seconds ttl{0};
};

struct StoreLeaseKeepAlive {
  LeaseId lease = 0;
};

struct StoreLeaseRevoke {
  LeaseId lease = 0;
};

using StoreRequest = std::variant<StoreGet,
                                  StoreCompareAndSwap,
                                  StoreCompareAndDelete,
                                  StoreWatch,
                                  StoreLeaseGrant,
                                  StoreLeaseKeepAlive,
                                  StoreLeaseRevoke,
                                  StorePut,
                                  StoreList>;

enum class StoreStatus : std::uint8_t {
  /// Done. For a read: `entry` is set when the key exists. For a watch that
  /// ran out of time: `entry` is unset.
  kOk,
  /// The revision differed; `entry` holds the present value where it exists.
  kConflict,
  /// The lease does not exist any more.
  kLeaseLost,
  /// Not done: the store was not reached or refused the call.
  kUnavailable,
  /// The call was sent and no answer came: a write may have taken effect.
  kUnknown,
};

/// \brief Stable names of the requests and statuses, in the order of their
/// types, for metrics.
inline constexpr auto kStoreRequestNames =
    std::to_array<const char*>({"get", "swap", "delete", "watch", "lease_grant",
                                "lease_keep", "lease_revoke", "put", "list"});
inline constexpr auto kStoreStatusNames = std::to_array<const char*>(
    {"ok", "conflict", "lease_lost", "unavailable", "unknown"});
static_assert(kStoreRequestNames.size() == std::variant_size_v<StoreRequest>,
              "each request has a name");
static_assert(kStoreStatusNames.size() ==
                  static_cast<std::size_t>(StoreStatus::kUnknown) + 1,
              "each status has a name");

/// \brief The store's answer to one request.
struct StoreReply {
  StoreStatus status = StoreStatus::kUnavailable;
  std::optional<StoreEntry> entry;
  /// The keys of a list.
  std::vector<StoreEntry> entries;
  /// Revision of the store as a whole when it answered; 0 when unknown.
  StoreRevision store_revision = 0;
  LeaseId lease = 0;
  /// When the request was sent, by the monotonic clock.
  MonoTime sent_at{};
};

/// \brief Which part of the node asked.
enum class StoreClientRole : std::uint8_t { kCommit, kCleanup, kFleet, kCalls };

/// \brief Names one request; unique within the process.
struct StoreCallId {
  StoreClientRole role = StoreClientRole::kCommit;
  std::uint64_t sequence = 0;

  [[nodiscard]] auto operator<=>(const StoreCallId&) const = default;
};

/// \brief Effect: send `request`; its answer returns as `StoreReplied`.
struct StoreCall {
  StoreCallId id;
  StoreRequest request;
};

/// \brief Event: the answer to a `StoreCall`.
struct StoreReplied {
  StoreCallId id;
  StoreReply reply;
};

/// \brief Keys of the system in the store.
inline constexpr char kHeadKey[] = "/cassiabend/head";
inline constexpr char kValuePrefix[] = "/cassiabend/values/";
inline constexpr char kDeltaPrefix[] = "/cassiabend/deltas/";
inline constexpr char kReaderPrefix[] = "/cassiabend/readers/";
inline constexpr char kMemberPrefix[] = "/cassiabend/members/";
inline constexpr char kSeedPrefix[] = "/cassiabend/seeds/";
inline constexpr char kOrderPrefix[] = "/cassiabend/orders/";

/// \brief Largest value that the store takes, in bytes.
inline constexpr std::size_t kStoreValueLimitBytes = 1'000'000;

}  // namespace cassiabend
