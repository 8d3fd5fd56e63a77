#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

#include "cassiabend/base/hash.h"
#include "cassiabend/base/time.h"
#include "cassiabend/core/member.h"

namespace cassiabend {

/// \brief What the user asked of cassiabend-ctl.
struct CommandLine {
  /// Administration addresses, tried in turn.
  std::vector<NodeId> nodes;
  std::string token_file;
  Milliseconds timeout{30'000};
  /// Zero when the user names none.
  ChangeId change_id;
  bool json = false;
  bool wait = false;
  bool dry_run = false;
  bool help = false;
  bool version = false;
  /// Command and its arguments.
  std::vector<std::string> words;
  /// Fields of an item that options named, in the JSON form of the model.
  boost::json::object fields;
};

/// \brief Reads the command line.
/// \throws SettingsError on unknown options and unusable values.
[[nodiscard]] CommandLine ParseCommandLine(int argc, const char* const* argv);

/// \returns The text of --help about the options.
[[nodiscard]] std::string OptionsHelp();

}  // namespace cassiabend
