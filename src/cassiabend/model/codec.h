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

/// Conversions between model values and messages of schema/config.capnp.
/// Reading throws `ModelError` on values that the model cannot hold.
void ToWire(const Id128& id, schema::Id128::Builder out);
void ToWire(const Site& site, schema::Site::Builder out);
void ToWire(const Service& service, schema::Service::Builder out);
void ToWire(const RouteTarget& target, schema::RouteTarget::Builder out);
void ToWire(const CallerLimits& limits, schema::CallerLimits::Builder out);
void ToWire(const Route& route, schema::Route::Builder out);
void ToWire(const QuietWindow& window, schema::QuietWindow::Builder out);
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
[[nodiscard]] Config FromWire(schema::Config::Reader in);
[[nodiscard]] Edit FromWire(schema::Edit::Reader in);
[[nodiscard]] ConfigDelta FromWire(schema::ConfigDelta::Reader in);
[[nodiscard]] HistoryEntry FromWire(schema::HistoryEntry::Reader in);
[[nodiscard]] Head FromWire(schema::Head::Reader in);

/// \brief Bytes of a value in the packed Cap'n Proto form, as the store holds
/// them. Reading throws `ModelError` on bytes that are not such a message.
[[nodiscard]] std::string EncodeConfig(const Config& config);
[[nodiscard]] Config DecodeConfig(std::string_view bytes);
[[nodiscard]] std::string EncodeDelta(const ConfigDelta& delta);
[[nodiscard]] ConfigDelta DecodeDelta(std::string_view bytes);
[[nodiscard]] std::string EncodeHead(const Head& head);
[[nodiscard]] Head DecodeHead(std::string_view bytes);

/// \returns The content hash of a version: equal for equal values.
[[nodiscard]] ContentHash HashConfig(const Config& config);

/// \returns The mark that names `config`.
[[nodiscard]] VersionMark MarkOf(const Config& config);

}  // namespace cassiabend
