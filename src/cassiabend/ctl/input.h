#pragma once

#include <iosfwd>
#include <string>

#include "cassiabend/base/hash.h"

namespace cassiabend {

/// \throws SettingsError, which tells that a command cannot be used as given.
[[noreturn]] void FailUsage(const std::string& where, const std::string& why);

/// \returns Everything that is left in `in`.
[[nodiscard]] std::string ReadAll(std::istream& in);

/// \brief Reads a file, or `standard_input` where the name is "-".
/// \throws SettingsError when the file cannot be read.
[[nodiscard]] std::string ReadFile(const std::string& name,
                                   std::istream& standard_input);

[[nodiscard]] std::string WithoutLineEnd(std::string text);

/// \returns A random id that no other change has.
[[nodiscard]] ChangeId NewChangeId();

}  // namespace cassiabend
