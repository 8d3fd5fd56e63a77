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

/// \brief Carries out the commands of cassiabend-ctl.
class Commands {
 public:
  /// \brief One command that is not about one kind of item.
  struct CommandSpec {
    std::string_view word;
    std::string_view arguments;
    std::string_view help;
    std::size_t min_arguments;
    std::size_t max_arguments;
    ExitCode (Commands::*run)();
  };
  /// \brief One command that each kind of item has.
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

  /// \throws SettingsError when the command cannot be used as given.
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

  /// \brief The node caller, made when the first command needs it.
  NodeCaller& caller();
  [[nodiscard]] std::string ReadToken() const;
  [[nodiscard]] VersionNumber NumberArgument(std::size_t index) const;

  /// \brief Sets expected revisions by the version in force, leaves out what
  /// would change nothing, shows the rest and commits it.
  ExitCode CommitEdits(std::vector<Edit> edits);
  /// \brief Reports that the version in force is as wanted already, after the
  /// store's head has confirmed it.
  ExitCode ReportNoChange(const Change& change, VersionNumber current);
  /// \brief Sends a change, reports its outcome and waits where asked.
  ExitCode Submit(const NodeCaller::Request& request);
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
