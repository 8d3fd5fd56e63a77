#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief One HTTP request to the store.
struct GatewayRequest {
  std::string path;
  std::string body;
  std::string method = "POST";
};

/// \brief Whether a call can change the store.
[[nodiscard]] bool IsWrite(const StoreRequest& request) noexcept;

/// \returns The gateway's form of `request`.
[[nodiscard]] GatewayRequest EncodeGatewayRequest(const StoreRequest& request);

/// \brief The status that a whole HTTP answer stands for.
/// \param http_status Status code of the answer, 100 to 599.
/// \returns `kUnavailable` only where the answer proves that a write had no
/// effect: a client error other than a timeout, or a body with
/// `"executed": false`.
[[nodiscard]] StoreReply DecodeGatewayReply(const StoreRequest& request,
                                            unsigned http_status,
                                            std::string_view body);

/// \brief One message of a watch's stream.
struct WatchMessage {
  bool created = false;
  /// The watch ended by the store's word, such as after a compaction.
  bool canceled = false;
  StoreRevision compact_revision = 0;
  StoreRevision store_revision = 0;
  /// The first event is the removal of the key.
  bool removed = false;
  /// State of the key after the newest event.
  std::optional<StoreEntry> entry;
};

/// \brief Reads one message of a watch's stream.
/// \returns Unset when `json` is no such message.
[[nodiscard]] std::optional<WatchMessage> DecodeWatchMessage(
    std::string_view json);

}  // namespace cassiabend
