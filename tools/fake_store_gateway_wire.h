#pragma once

#include "tools/fake_store_wire.h"

namespace cassiabend {

/// \returns The wire of the etcd v3 HTTP/JSON gateway.
[[nodiscard]] const FakeStoreWire& FakeGatewayWire();

/// \returns The gateway's JSON form of one stored entry.
[[nodiscard]] boost::json::object ToGatewayJson(const StoreEntry& entry);

}  // namespace cassiabend
