#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/ctl/command_line.h"
#include "cassiabend/ctl/ctl.h"
#include "cassiabend/ctl/exit_code.h"
#include "cassiabend/ctl/item_kind_handler.h"
#include "cassiabend/ctl/node_caller.h"
#include "cassiabend/model/change.h"

namespace cassiabend {

/// \brief Runs the commands of cassiabend-ctl.
class Commands {
 public:
  /// \brief A command that does not take a kind of item, such as "status".
  struct CommandSpec {
    std::string_view word;
    std::string_view arguments;
    std::string_view help;
    std::size_t min_arguments;
    std::size_t max_arguments;
    ExitCode (Commands::*run)();
  };
  /// \brief A command that exists for each kind of item, such as "put".
  struct ItemCommandSpec {
    std::string_view word;
    std::string_view arguments;
    std::string_view help;
    std::size_t min_arguments;
    std::size_t max_arguments;
    ExitCode (Commands::*run)(const ItemKindHandler& kind);
  };

  [[nodiscard]] static std::span<const CommandSpec> command_specs();
  [[nodiscard]] static std::span<const ItemCommandSpec> item_command_specs();

  Commands(CommandLine line, const CtlStreams& streams);

  /// \throws SettingsError when the command or an argument is invalid.
  /// \throws ModelError when an item breaks a rule of its form.
  /// \throws RpcError when no node answers.
  [[nodiscard]] ExitCode Run();

 private:
  friend struct CommandTable;

  ExitCode PutItem(const ItemKindHandler& kind);
  ExitCode RemoveItem(const ItemKindHandler& kind);
  ExitCode ListItems(const ItemKindHandler& kind);
  ExitCode Apply();
  ExitCode ShowConfig();
  ExitCode ShowStatus();
  ExitCode Wait();
  ExitCode ShowHistory();
  ExitCode Rollback();
  ExitCode Drain();
  ExitCode Recover();
  ExitCode PrintTokenHash();

  /// \returns The node caller, which the first use creates.
  NodeCaller& caller();
  [[nodiscard]] std::string ReadToken() const;
  [[nodiscard]] VersionNumber NumberArgument(std::size_t index) const;

  /// \brief Commits edits: takes missing expected revisions from the version in
  /// force, drops edits that change nothing and shows the others first.
  ExitCode CommitEdits(std::vector<Edit> edits);
  /// \brief Reports that the version in force already has the wanted content,
  /// after a dry run has confirmed it against the store's head.
  ExitCode ReportNoChange(const Change& change, VersionNumber current);
  /// \brief Sends a change, reports its outcome and waits with --wait.
  ExitCode Submit(const NodeCaller::Request& request);
  /// \brief Polls the fleet's status until the version is in force everywhere
  /// or the command's time is over.
  ExitCode WaitFor(VersionNumber number);
  ExitCode ReportWait(VersionNumber number, const FleetStatus& status);
  ExitCode ReportFailure(const CommitResult& result);
  void ShowDifference(const Config& current, const std::vector<Edit>& edits);
  void PrintJson(const boost::json::value& value);

  CommandLine line_;
  CtlStreams streams_;
  ChangeId change_id_;
  std::optional<NodeCaller> caller_;
};

}  // namespace cassiabend
