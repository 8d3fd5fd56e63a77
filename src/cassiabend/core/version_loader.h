#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cassiabend/core/store_caller.h"

namespace cassiabend {

/// \brief The outcome of loading one version.
struct LoadedVersion {
  /// Null when the version could not be loaded.
  RefPtr<const Snapshot> snapshot;
  /// Why the version could not be loaded; empty on success.
  std::string reason;
  /// Whether the store was unreachable, as opposed to a missing or invalid
  /// value.
  bool unavailable = false;
};

/// \brief Reads the chunks of one version and checks its hash.
class VersionLoader {
 public:
  using Handler =
      std::function<void(const ReduceContext& ctx, LoadedVersion loaded)>;

  explicit VersionLoader(StoreCaller* calls) : calls_(calls) {}

  /// \brief Loads the version `mark` from `keys`; any earlier load of this
  /// loader must have finished.
  void Load(const ReduceContext& ctx,
            const VersionMark& mark,
            const std::vector<std::string>& keys,
            MonoTime deadline,
            Handler handler);

 private:
  void OnChunk(const ReduceContext& ctx,
               std::size_t index,
               const std::string& key,
               const StoreReply& reply);
  void Finish(const ReduceContext& ctx);

  StoreCaller* calls_;
  VersionMark mark_;
  Handler handler_;
  std::vector<std::string> chunks_;
  std::size_t chunks_pending_ = 0;
  LoadedVersion result_;
};

/// \brief Decodes a full version and checks that it is the version `mark`.
/// \throws ModelError when it cannot be decoded or is another version.
[[nodiscard]] RefPtr<const Snapshot> DecodeVersion(const std::string& bytes,
                                                   const VersionMark& mark);

}  // namespace cassiabend
