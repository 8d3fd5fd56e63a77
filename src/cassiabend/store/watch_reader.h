#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/core/store_types.h"
#include "cassiabend/store/gateway_codec.h"

namespace cassiabend {

/// \brief Reads the response stream of one watch until its outcome is decided.
class WatchReader {
 public:
  /// \param after The last known revision of the watched key.
  explicit WatchReader(StoreRevision after) : after_(after) {}

  /// \returns Whether the outcome is decided.
  [[nodiscard]] bool decided() const noexcept { return decided_; }
  /// \returns Whether the store acknowledged the watch.
  [[nodiscard]] bool created() const noexcept { return created_; }
  /// \returns Whether the revisions to watch from were compacted.
  [[nodiscard]] bool compacted() const noexcept { return compacted_; }
  /// \returns The outcome; for an undecided watch, its outcome if it ends now.
  [[nodiscard]] StoreReply reply() const;

  /// \brief Reads the next bytes of the stream.
  /// \returns Whether the outcome is still undecided.
  bool ReadChunk(std::string_view chunk);

 private:
  void ReadMessage(std::string_view line);
  void Decide(StoreStatus status);

  StoreRevision after_;
  /// Incomplete last line of the stream.
  std::string partial_line_;
  StoreReply reply_;
  bool created_ = false;
  bool compacted_ = false;
  bool decided_ = false;
};

}  // namespace cassiabend
