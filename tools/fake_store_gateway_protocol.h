#pragma once

#include "tools/fake_store_protocol.h"

namespace cassiabend {

/// \returns The server side of the etcd v3 HTTP/JSON gateway protocol.
[[nodiscard]] const FakeStoreProtocol& FakeGatewayProtocol();

/// \returns An entry as the gateway's KeyValue JSON.
[[nodiscard]] boost::json::object ToGatewayJson(const StoreEntry& entry);

}  // namespace cassiabend
