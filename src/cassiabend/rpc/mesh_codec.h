#pragma once

#include <string>
#include <string_view>

#include "cassiabend/core/fleet_events.h"
#include "cassiabend/core/fleet_reducer.h"
#include "cassiabend/core/member.h"
#include "mesh.capnp.h"

namespace cassiabend {

/// Conversions between core types and messages of schema/mesh.capnp.
/// `FromWire` throws `RpcError` or `ModelError` on values that the core types
/// cannot represent.
void ToWire(const VersionMark& mark, schema::VersionMark::Builder out);
void ToWire(const Member& member, schema::Member::Builder out);
void ToWire(const Datagram& datagram, schema::Datagram::Builder out);
void ToWire(const ConfigUpdate& update, schema::ConfigUpdate::Builder out);

[[nodiscard]] VersionMark FromWire(schema::VersionMark::Reader in);
[[nodiscard]] Member FromWire(schema::Member::Reader in);
[[nodiscard]] Datagram FromWire(schema::Datagram::Reader in);
[[nodiscard]] ConfigUpdate FromWire(schema::ConfigUpdate::Reader in);

/// \brief Converts an age to its form in the schema: milliseconds, saturated;
/// 0xffffffff when unset.
[[nodiscard]] std::uint32_t ToWireAge(std::optional<Milliseconds> age) noexcept;
[[nodiscard]] std::optional<Milliseconds> FromWireAge(
    std::uint32_t age) noexcept;

/// \brief Largest UDP payload between nodes, in bytes.
inline constexpr std::size_t kMaxDatagramBytes = 1'400;

/// \returns The packed form of `datagram`. Member updates that do not fit into
/// `kMaxDatagramBytes` are left out, the last ones first.
[[nodiscard]] std::string EncodeDatagram(const Datagram& datagram);
/// \throws RpcError or ModelError when `bytes` are not a valid datagram.
[[nodiscard]] Datagram DecodeDatagram(std::string_view bytes);

}  // namespace cassiabend
