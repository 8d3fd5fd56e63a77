#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace cassiabend {

/// \brief Command line of one program, read by popt. Every program answers
/// --help and --version the same way.
class CommandLine {
 public:
  /// \param program Name of the program.
  /// \param usage What follows the options, such as "SETTINGS".
  /// \param epilogue Text printed after the options by --help.
  CommandLine(std::string program, std::string usage, std::string epilogue);

  /// \brief Adds an option with a value. `*value` holds the default and must
  /// outlive the call of `Parse`.
  void AddText(const std::string& name,
               std::string* value,
               const std::string& help);
  void AddNumber(const std::string& name,
                 std::int64_t* value,
                 const std::string& help);
  void AddFlag(const std::string& name, bool* value, const std::string& help);

  /// \brief Reads the arguments. Prints and sets `*finished` for --help and
  /// --version; the program should then return 0.
  /// \returns The arguments that are not options.
  /// \throws SettingsError on an unknown option or an unfit value.
  [[nodiscard]] std::vector<std::string> Parse(int argc,
                                               const char** argv,
                                               bool* finished);

 private:
  enum class Kind : std::uint8_t { kText, kNumber, kFlag };
  struct Option {
    std::string name;
    std::string help;
    Kind kind = Kind::kFlag;
    std::string* text = nullptr;
    std::int64_t* number = nullptr;
    bool* flag = nullptr;
  };

  static void Store(const Option& option, const char* argument);
  void PrintVersion() const;

  std::string program_;
  std::string usage_;
  std::string epilogue_;
  // A deque keeps the strings that popt points to in place.
  std::deque<Option> options_;
};

/// \brief Runs a program's main function and turns what it throws into a line
/// on standard error.
/// \returns The function's exit code; 1 for a `SettingsError`, 2 for any other
/// exception.
[[nodiscard]] int RunProgram(const char* program,
                             int (*function)(int argc, const char** argv),
                             int argc,
                             char** argv);

/// \brief Version of the programs, "major.minor.patch".
inline constexpr char kProgramVersion[] = "0.1.0";

}  // namespace cassiabend
