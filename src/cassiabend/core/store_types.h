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

/// \brief A key and its value with the store revision that last wrote them.
struct StoreEntry {
  std::string key;
  std::string value;
  StoreRevision revision = 0;

  [[nodiscard]] bool operator==(const StoreEntry&) const = default;
};

/// \brief Reads one key.
struct StoreGet {
  std::string key;
  /// The reply may leave out an entry whose revision is not above this one; 0:
  /// it never does.
  StoreRevision newer_than = 0;
  /// Time without an answer after which the read fails, if that is shorter than
  /// the client's own limit; 0: it is not.
  Milliseconds timeout{0};
  /// A read with `newer_than` may return changes of the other keys with this
  /// prefix in `entries`; empty for none.
  std::string prefix;
};

/// \brief Writes one key if its revision is `expected`; 0 means absent.
struct StoreCompareAndSwap {
  std::string key;
  StoreRevision expected = 0;
  std::string value;
  /// The store deletes the key when this lease ends; 0 for none.
  LeaseId lease = 0;
};

/// \brief Writes one key regardless of its revision.
struct StorePut {
  std::string key;
  std::string value;
  /// The store deletes the key when this lease ends; 0 for none.
  LeaseId lease = 0;
};

/// \brief Reads the first page of the keys that begin with `prefix`.
struct StoreList {
  std::string prefix;
  /// Whether the list must be current; otherwise it may be some seconds old.
  bool is_current = false;
};

/// \brief Deletes one key if its revision is `expected`.
struct StoreCompareAndDelete {
  std::string key;
  StoreRevision expected = 0;
};

/// \brief Waits until the key has a revision above `after`, at most for `wait`.
struct StoreWatch {
  std::string key;
  StoreRevision after = 0;
  Milliseconds wait{0};
  /// The watch also ends with changes of the other keys with this prefix, which
  /// are returned in `entries`, those that were deleted with empty values;
  /// empty for none.
  std::string prefix;
};

/// \brief Creates a lease that expires `ttl` after its last keep-alive.
struct StoreLeaseGrant {
  Seconds ttl{0};
};

/// \brief Renews a lease for its full time to live.
struct StoreLeaseKeepAlive {
  LeaseId lease = 0;
};

/// \brief Ends a lease, which deletes the keys attached to it.
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
  /// Executed. A read sets `entry` if the key exists; a watch that timed out
  /// leaves it unset.
  kOk,
  /// The revision differed; `entry` holds the current value if the key exists.
  kConflict,
  /// The lease no longer exists.
  kLeaseLost,
  /// Not executed: the store was unreachable or rejected the call.
  kUnavailable,
  /// The call was sent but got no reply: a write may have taken effect.
  kUnknown,
};

/// \brief Names of the requests and statuses in metric labels, in the order of
/// `StoreRequest` and `StoreStatus`.
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

/// \brief Counts how often the store has been restored from a copy. What was
/// written after the copy is gone then, and revisions and leases are given out
/// again. 0 when the store states none.
using StoreEra = std::uint64_t;

/// \brief A revision of the store and its era, which is compared first.
struct StorePosition {
  StoreEra era = 0;
  StoreRevision revision = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  [[nodiscard]] auto operator<=>(const StorePosition&) const = default;
};

/// \brief The store's reply to one request.
struct StoreReply {
  StoreStatus status = StoreStatus::kUnavailable;
  std::optional<StoreEntry> entry;
  /// The entries found by a `StoreList`, or changed under the prefix of a read
  /// or watch.
  std::vector<StoreEntry> entries;
  /// Revision of the store as a whole when it replied; 0 when unknown.
  StoreRevision store_revision = 0;
  LeaseId lease = 0;
  /// When the request was sent.
  MonoTime sent_at{};
  /// Era in which the store replied.
  StoreEra era = 0;

  /// \returns The position of the store as a whole when it replied.
  [[nodiscard]] StorePosition position() const noexcept {
    return {era, store_revision};
  }
};

/// \brief The part of the node that sent a request.
enum class StoreClientRole : std::uint8_t { kCommit, kCleanup, kFleet, kCalls };

/// \brief Identifies one request; unique within the process.
struct StoreCallId {
  StoreClientRole role = StoreClientRole::kCommit;
  std::uint64_t sequence = 0;

  [[nodiscard]] auto operator<=>(const StoreCallId&) const = default;
};

/// \brief Effect: send `request`; its reply returns as `StoreReplied`.
struct StoreCall {
  StoreCallId id;
  StoreRequest request;
};

/// \brief Event: the reply to a `StoreCall`.
struct StoreReplied {
  StoreCallId id;
  StoreReply reply;
};

/// \brief Keys and key prefixes that the system uses in the store.
inline constexpr char kHeadKey[] = "/cassiabend/head";
inline constexpr char kValuePrefix[] = "/cassiabend/values/";
inline constexpr char kDeltaPrefix[] = "/cassiabend/deltas/";
inline constexpr char kReaderPrefix[] = "/cassiabend/readers/";
inline constexpr char kMemberPrefix[] = "/cassiabend/members/";
inline constexpr char kSeedPrefix[] = "/cassiabend/seeds/";
inline constexpr char kOrderPrefix[] = "/cassiabend/orders/";

/// \brief Largest value that the store accepts, in bytes.
inline constexpr std::size_t kStoreValueLimitBytes = 1'000'000;

}  // namespace cassiabend
