#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "cassiabend/base/time.h"
#include "cassiabend/node/settings.h"

namespace cassiabend {

/// \brief One key of a settings section: the member that holds its value, the
/// allowed values and the description.
template <typename Section>
struct SettingField {
  using Member = std::variant<std::uint16_t Section::*,
                              std::uint32_t Section::*,
                              std::uint64_t Section::*,
                              Milliseconds Section::*,
                              Seconds Section::*,
                              std::string Section::*>;

  /// Key in the settings file; numbers with a unit end in it.
  std::string_view key;
  Member member;
  /// Allowed range of a number, or of the length of a string in bytes.
  std::uint64_t min;
  std::uint64_t max;
  /// Text for `DescribeSettings`.
  std::string_view description;
};

[[nodiscard]] std::span<const SettingField<NodeSettings>> NodeFields();
[[nodiscard]] std::span<const SettingField<PlatformSettings>> PlatformFields();
[[nodiscard]] std::span<const SettingField<UpstreamSettings>> UpstreamFields();
[[nodiscard]] std::span<const SettingField<StoreClientOptions>> StoreFields();
[[nodiscard]] std::span<const SettingField<ConfigOptions>> ConfigFields();
[[nodiscard]] std::span<const SettingField<FleetOptions>> FleetFields();
[[nodiscard]] std::span<const SettingField<CallOptions>> CallFields();
[[nodiscard]] std::span<const SettingField<CallServerOptions>> HttpFields();

}  // namespace cassiabend
