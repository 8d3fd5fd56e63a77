#pragma once

#include <vector>

#include "admin.capnp.h"
#include "cassiabend/core/config_events.h"
#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {

/// Conversions between core types and messages of schema/admin.capnp.
void ToWire(const CommitResult& result, schema::Error::Builder out);
[[nodiscard]] CommitResult FromWire(schema::Error::Reader in);

void ToWire(const MemberView& view, schema::NodeStatus::Builder out);
[[nodiscard]] MemberView FromWire(schema::NodeStatus::Reader in);

void ToWire(const Change& change, schema::Change::Builder out);
[[nodiscard]] Change FromWire(schema::Change::Reader in);

}  // namespace cassiabend
