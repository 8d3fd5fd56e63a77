#pragma once

#include <capnp/message.h>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "cassiabend/model/change.h"
#include "cassiabend/model/config.h"
#include "cassiabend/model/head.h"
#include "config.capnp.h"

namespace cassiabend {

/// Conversions between model values and the messages of schema/config.capnp.
/// `ToWire` throws `ModelError` when a value does not fit its field, `FromWire`
/// when a message holds an unknown enumerator or union member.
void ToWire(const Id128& id, schema::Id128::Builder out);
void ToWire(const Site& site, schema::Site::Builder out);
void ToWire(const Service& service, schema::Service::Builder out);
void ToWire(const RouteTarget& target, schema::RouteTarget::Builder out);
void ToWire(const CallerLimits& limits, schema::CallerLimits::Builder out);
void ToWire(const Route& route, schema::Route::Builder out);
void ToWire(const QuietWindow& window, schema::QuietWindow::Builder out);
void ToWire(const Team& team, schema::Team::Builder out);
void ToWire(const Config& config, schema::Config::Builder out);
void ToWire(const Edit& edit, schema::Edit::Builder out);
void ToWire(const ConfigDelta& delta, schema::ConfigDelta::Builder out);
void ToWire(const HistoryEntry& entry, schema::HistoryEntry::Builder out);
void ToWire(const Head& head, schema::Head::Builder out);

[[nodiscard]] Id128 FromWire(schema::Id128::Reader in);
[[nodiscard]] Site FromWire(schema::Site::Reader in);
[[nodiscard]] Service FromWire(schema::Service::Reader in);
[[nodiscard]] RouteTarget FromWire(schema::RouteTarget::Reader in);
[[nodiscard]] CallerLimits FromWire(schema::CallerLimits::Reader in);
[[nodiscard]] Route FromWire(schema::Route::Reader in);
[[nodiscard]] QuietWindow FromWire(schema::QuietWindow::Reader in);
[[nodiscard]] Team FromWire(schema::Team::Reader in);
[[nodiscard]] Config FromWire(schema::Config::Reader in);
[[nodiscard]] Edit FromWire(schema::Edit::Reader in);
[[nodiscard]] ConfigDelta FromWire(schema::ConfigDelta::Reader in);
[[nodiscard]] HistoryEntry FromWire(schema::HistoryEntry::Reader in);
[[nodiscard]] Head FromWire(schema::Head::Reader in);

/// Conversions between model values and packed Cap'n Proto messages, as they
/// are kept in the store. Decoding throws `ModelError` when `bytes` is not a
/// valid message.
[[nodiscard]] std::string EncodeConfig(const Config& config);
[[nodiscard]] Config DecodeConfig(std::string_view bytes);
[[nodiscard]] std::string EncodeDelta(const ConfigDelta& delta);
[[nodiscard]] ConfigDelta DecodeDelta(std::string_view bytes);
[[nodiscard]] std::string EncodeHead(const Head& head);
[[nodiscard]] Head DecodeHead(std::string_view bytes);

/// \returns The hash of a version's canonical encoding: equal for equal values.
[[nodiscard]] ContentHash HashConfig(const Config& config);

/// \returns The version mark of `config`: its number and content hash.
[[nodiscard]] VersionMark MarkOf(const Config& config);

}  // namespace cassiabend
