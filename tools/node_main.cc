#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>

#include "cassiabend/base/clock.h"
#include "cassiabend/base/command_line.h"
#include "cassiabend/base/error.h"
#include "cassiabend/base/guard.h"
#include "cassiabend/base/log.h"
#include "cassiabend/node/node.h"
#include "cassiabend/node/settings.h"
#include "platform/mesh_adapter.h"

namespace cassiabend {
namespace {

constexpr int kExitOk = 0;

constexpr char kEpilogue[] =
    "\nSignals: SIGTERM and SIGINT shut down gracefully; SIGHUP reads the\n"
    "settings again.\n"
    "Exit codes: 0 ended as asked, 1 bad command line or settings, 2 a port "
    "could\nnot be opened or the node failed.\n";

/// \brief Reloads the node's settings on SIGHUP and shuts it down on any other
/// signal of `signals`.
void AwaitSignals(boost::asio::signal_set* signals, Node* node) {
  signals->async_wait([signals, node](boost::system::error_code ec, int n) {
    if (ec) {
      return;
    }
    if (n == SIGHUP) {
      node->Reload();
    } else {
      node->Shutdown();
    }
    AwaitSignals(signals, node);
  });
}

/// \returns The platform adapter that the settings name.
/// \throws SettingsError when there is none of that name.
const PlatformAdapter& AdapterOf(const Settings& settings) {
  const std::string& name = settings.platform.adapter;
  if (name.empty()) {
    return DefaultPlatformAdapter();
  }
  if (name == platform::kMeshAdapterName) {
    return platform::MeshAdapter();
  }
  throw SettingsError("use the settings", "platform.adapter",
                      "there is no adapter called \"" + name + "\"");
}

int Serve(const Settings& settings, const std::string& file) {
  InitializeLog("cassiabend-node", ParseLogLevel(settings.node.log_level),
                LogTarget::kStandardOutput);
  boost::asio::io_context io(1);
  const SystemClock clock;
  Node node(io, clock, AdapterOf(settings), settings, file);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  AwaitSignals(&signals, &node);
  // A handler that fails must not end what the other handlers serve.
  while (!RunGuarded("main", [&io] { io.run(); })) {
  }
  return kExitOk;
}

int Main(int argc, const char** argv) {
  CommandLine line("cassiabend-node", "SETTINGS", kEpilogue);
  bool check = false;
  bool describe = false;
  line.AddFlag("check", &check, "Print the effective settings and exit");
  line.AddFlag("describe-settings", &describe,
               "Print the page of all settings and exit");
  bool finished = false;
  const std::vector<std::string> rest = line.Parse(argc, argv, &finished);
  if (finished) {
    return kExitOk;
  }
  if (describe) {
    std::cout << DescribeSettings();
    return kExitOk;
  }
  if (rest.size() != 1) {
    throw SettingsError("read the command line", "SETTINGS",
                        "name one settings file; see --help");
  }
  Settings settings = LoadSettings(rest.front());
  AdapterOf(settings).ApplyPlatformSettings(&settings);
  if (check) {
    std::cout << PrintSettings(settings) << "\n";
    return kExitOk;
  }
  return Serve(settings, rest.front());
}

}  // namespace
}  // namespace cassiabend

int main(int argc, char** argv) {
  return cassiabend::RunProgram("cassiabend-node", &cassiabend::Main, argc,
                                argv);
}
