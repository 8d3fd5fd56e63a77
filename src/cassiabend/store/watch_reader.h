#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/core/store_types.h"
#include "cassiabend/store/gateway_codec.h"

namespace cassiabend {

/// \brief Reads the stream of one watch until it decides the outcome.
class WatchReader {
 public:
  /// \param after Revision that the watched key had.
  explicit WatchReader(StoreRevision after) : after_(after) {}

  /// \returns Whether the outcome is decided.
  [[nodiscard]] bool decided() const noexcept { return decided_; }
  /// \returns Whether the store acknowledged the watch.
  [[nodiscard]] bool created() const noexcept { return created_; }
  /// \returns Whether the revisions to watch from were compacted away.
  [[nodiscard]] bool compacted() const noexcept { return compacted_; }
  /// \brief The outcome. Of an undecided watch: what the end of its time means.
  [[nodiscard]] StoreReply reply() const;

  /// \brief Takes the next bytes of the stream.
  /// \returns Whether more are needed.
  bool Take(std::string_view chunk);

 private:
  void TakeMessage(std::string_view line);
  void Decide(StoreStatus status);

  StoreRevision after_;
  std::string partial_;
  StoreReply reply_;
  bool created_ = false;
  bool compacted_ = false;
  bool decided_ = false;
};

}  // namespace cassiabend
