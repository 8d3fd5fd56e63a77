#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace cassiabend {

/// \brief Parser for the command line of one program, based on popt. Adds the
/// options --help and --version to every program.
class CommandLine {
 public:
  /// \param program Name of the program.
  /// \param usage Arguments after the options as shown by --help, such as
  /// "SETTINGS".
  /// \param epilogue Text printed after the options by --help.
  CommandLine(std::string program, std::string usage, std::string epilogue);

  /// \brief Adds an option with a text value. `*value` holds the default, as in
  /// the other functions that add options, and must outlive the call of
  /// `Parse`.
  void AddText(const std::string& name,
               std::string* value,
               const std::string& help);
  /// \brief Adds an option with a decimal integer as its value.
  void AddNumber(const std::string& name,
                 std::int64_t* value,
                 const std::string& help);
  /// \brief Adds an option without a value, which sets `*value` to true.
  void AddFlag(const std::string& name, bool* value, const std::string& help);

  /// \brief Reads the arguments. Prints and sets `*finished` for --help and
  /// --version; the program should then return 0.
  /// \returns The arguments that are not options.
  /// \throws SettingsError on an unknown option or an invalid value.
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
  // popt keeps pointers to the strings, which a deque never moves.
  std::deque<Option> options_;
};

/// \brief Runs a program's main function and prints an exception that it throws
/// to standard error.
/// \returns The function's exit code; 1 for a `SettingsError`, 2 for any other
/// exception.
[[nodiscard]] int RunProgram(const char* program,
                             int (*function)(int argc, const char** argv),
                             int argc,
                             char** argv);

/// \brief Version of the programs, "major.minor.patch".
inline constexpr char kProgramVersion[] = "0.1.0";

}  // namespace cassiabend
