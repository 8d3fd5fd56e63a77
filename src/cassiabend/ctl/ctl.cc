#include "cassiabend/ctl/ctl.h"

#include <ostream>
#include <string>

#include "cassiabend/base/error.h"
#include "cassiabend/ctl/command_line.h"
#include "cassiabend/ctl/commands.h"
#include "cassiabend/ctl/exit_code.h"
#include "cassiabend/ctl/text_table.h"

namespace cassiabend {
namespace {

constexpr char kVersion[] = "0.1.0";

std::string CommandsHelp() {
  TextTable table({"  COMMAND", "", ""});
  for (const ItemKindHandler& kind : AllItemKindHandlers()) {
    for (const Commands::ItemCommandSpec& it : Commands::item_command_specs()) {
      table.AddRow({"  " + std::string(kind.word) + " " + std::string(it.word),
                    std::string(it.arguments), std::string(it.help)});
    }
  }
  for (const Commands::CommandSpec& it : Commands::command_specs()) {
    table.AddRow({"  " + std::string(it.word), std::string(it.arguments),
                  std::string(it.help)});
  }
  return table.ToString();
}

std::string ExitCodesHelp() {
  TextTable table({"  EXIT CODE", ""});
  int code = 0;
  for (const std::string_view it : kExitCodeTexts) {
    table.AddRow({"  " + std::to_string(code), std::string(it)});
    ++code;
  }
  return table.ToString();
}

int Report(ExitCode code, const std::string& why, const CtlStreams& streams) {
  streams.err << "cassiabend-ctl: " << why << "\n";
  return static_cast<int>(code);
}

}  // namespace

int RunCtl(int argc, const char* const* argv, const CtlStreams& streams) {
  try {
    CommandLine line = ParseCommandLine(argc, argv);
    if (line.help) {
      streams.out << OptionsHelp() << "\n"
                  << CommandsHelp() << "\n"
                  << ExitCodesHelp();
      return 0;
    }
    if (line.version) {
      streams.out << kVersion << "\n";
      return 0;
    }
    return static_cast<int>(Commands(std::move(line), streams).Run());
  } catch (const SettingsError& ex) {
    return Report(ExitCode::kUsage, ex.what(), streams);
  } catch (const ModelError& ex) {
    return Report(ExitCode::kInvalid, ex.what(), streams);
  } catch (const Error& ex) {
    return Report(ExitCode::kUnavailable, ex.what(), streams);
  }
}

}  // namespace cassiabend
