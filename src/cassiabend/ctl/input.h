#pragma once

#include <iosfwd>
#include <string>

#include "cassiabend/base/hash.h"

namespace cassiabend {

/// \brief Reports that a command or an argument is invalid.
/// \throws SettingsError always.
[[noreturn]] void FailUsage(const std::string& where, const std::string& why);

/// \returns The rest of `in`.
[[nodiscard]] std::string ReadAll(std::istream& in);

/// \brief Reads a file, or `standard_input` when `name` is "-".
/// \throws SettingsError when the file cannot be read.
[[nodiscard]] std::string ReadFile(const std::string& name,
                                   std::istream& standard_input);

/// \returns `text` without line breaks at its end.
[[nodiscard]] std::string WithoutLineEnd(std::string text);

/// \returns A random id, which is never zero.
[[nodiscard]] ChangeId NewChangeId();

}  // namespace cassiabend
