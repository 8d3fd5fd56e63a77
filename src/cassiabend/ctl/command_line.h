#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

#include "cassiabend/base/hash.h"
#include "cassiabend/base/time.h"
#include "cassiabend/core/member.h"

namespace cassiabend {

/// \brief The parsed command line of cassiabend-ctl.
struct CommandLine {
  /// Addresses of the nodes' administration API, tried in this order.
  std::vector<NodeId> nodes;
  /// File with the operator's token; empty to take it from the environment.
  std::string token_file;
  /// Maximum duration of the command.
  Milliseconds timeout{30'000};
  /// Id of a change to send again; zero for none.
  ChangeId change_id;
  bool json = false;
  /// Whether to wait until the change is in force everywhere.
  bool wait = false;
  bool dry_run = false;
  bool help = false;
  bool version = false;
  /// The command and its arguments.
  std::vector<std::string> words;
  /// Fields of an item that options set, in the JSON form of the model.
  boost::json::object fields;
};

/// \brief Parses the command line.
/// \throws SettingsError for unknown options and invalid values.
[[nodiscard]] CommandLine ParseCommandLine(int argc, const char* const* argv);

/// \returns The description of the options for --help.
[[nodiscard]] std::string OptionsHelp();

}  // namespace cassiabend
