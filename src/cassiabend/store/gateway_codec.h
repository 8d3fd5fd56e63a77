#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief An HTTP request to the store.
struct GatewayRequest {
  std::string path;
  std::string body;
  std::string method = "POST";
  /// Name of the response header that states the store's era; empty for none.
  std::string_view era_header;
};

/// \returns Whether a request can change the store.
[[nodiscard]] bool IsWrite(const StoreRequest& request) noexcept;

/// \returns The request to the etcd v3 HTTP/JSON gateway for `request`.
[[nodiscard]] GatewayRequest EncodeGatewayRequest(const StoreRequest& request);

/// \brief Decodes a complete HTTP response of the gateway.
/// \param http_status Status code of the response, 100 to 599.
/// \returns The reply. For a write its status is `kUnavailable` only when the
/// response proves that the write had no effect: a client error other than a
/// timeout, or a body with `"executed": false`.
[[nodiscard]] StoreReply DecodeGatewayReply(const StoreRequest& request,
                                            unsigned http_status,
                                            std::string_view body);

/// \brief A message in the response stream of a watch.
struct WatchMessage {
  bool created = false;
  /// The store ended the watch, for example after a compaction.
  bool canceled = false;
  /// Set when the revisions to watch from were compacted; else 0.
  StoreRevision compact_revision = 0;
  StoreRevision store_revision = 0;
  /// The newest event is the removal of the key.
  bool removed = false;
  /// State of the key after the newest event.
  std::optional<StoreEntry> entry;
};

/// \brief Decodes a message in the response stream of a watch.
/// \returns Unset when `json` is not a valid message.
[[nodiscard]] std::optional<WatchMessage> DecodeWatchMessage(
    std::string_view json);

}  // namespace cassiabend
