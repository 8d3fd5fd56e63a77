#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <string>
#include <thread>

#include "cassiabend/base/command_line.h"
#include "cassiabend/base/error.h"
#include "tools/harness/fleet.h"

namespace cassiabend {
namespace {

constexpr int kExitOk = 0;
constexpr std::int64_t kMaxHosts = 100;
constexpr std::chrono::seconds kReadyWait{60};
constexpr std::chrono::milliseconds kPollPeriod{100};

constexpr char kEpilogue[] =
    "\nStarts a store, and hosts with a node and an upstream each, on loopback"
    "\naddresses; prints one JSON line with their addresses once all members\n"
    "know each other; ends them by id on SIGTERM, SIGINT or after --seconds.\n"
    "Exit codes: 0 ended as asked, 1 bad command line, 2 the fleet failed.\n";

volatile std::sig_atomic_t g_stop = 0;

boost::json::object Describe(const harness::Fleet& fleet) {
  boost::json::array hosts;
  for (const harness::HostSpec& it : fleet.hosts()) {
    hosts.push_back(boost::json::object{
        {"zone", it.zone},
        {"service", it.service},
        {"node", it.ip + ":" + std::to_string(it.peer_port)},
        {"calls", it.ip + ":" + std::to_string(it.call_port)},
        {"admin", it.ip + ":" + std::to_string(it.admin_port)},
        {"metrics", it.ip + ":" + std::to_string(it.metrics_port)}});
  }
  return {{"token", harness::Fleet::Token()},
          {"store", "127.0.0.1:" + std::to_string(fleet.store_port())},
          {"hosts", std::move(hosts)}};
}

void AwaitStop(std::chrono::seconds longest) {
  std::signal(SIGTERM, [](int) { g_stop = 1; });
  std::signal(SIGINT, [](int) { g_stop = 1; });
  const auto end = std::chrono::steady_clock::now() + longest;
  while (g_stop == 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollPeriod);
  }
}

int Main(int argc, const char** argv) {
  CommandLine line("cassiabend-fleet", "", kEpilogue);
  harness::FleetOptions options;
  std::string deployment = "cascadia";
  std::int64_t hosts = 18;
  std::int64_t seconds = 600;
  options.bin = std::filesystem::path(argv[0]).parent_path().string();
  options.work =
      (std::filesystem::temp_directory_path() / "cassiabend-fleet").string();
  line.AddText("bin", &options.bin, "Folder of the programs");
  line.AddText("work", &options.work, "Folder for settings and logs");
  line.AddText("deployment", &deployment, "cascadia or silfurhud");
  line.AddNumber("hosts", &hosts, "Hosts to start, 1 to 100");
  line.AddNumber("seconds", &seconds, "Longest run");
  bool finished = false;
  (void)line.Parse(argc, argv, &finished);
  if (finished) {
    return kExitOk;
  }
  if (hosts < 1 || hosts > kMaxHosts) {
    throw SettingsError("read the command line", "--hosts",
                        "must be 1 to " + std::to_string(kMaxHosts));
  }
  options.hosts = static_cast<std::size_t>(hosts);
  options.deployment = harness::DeploymentByName(deployment);
  std::filesystem::create_directories(options.work);
  harness::Fleet fleet(options);
  fleet.Start();
  if (!fleet.WaitMembers(options.hosts, kReadyWait)) {
    throw std::runtime_error("not all members were alive within " +
                             std::to_string(kReadyWait.count()) + " s");
  }
  std::cout << boost::json::serialize(Describe(fleet)) << std::endl;
  AwaitStop(std::chrono::seconds(seconds));
  return kExitOk;
}

}  // namespace
}  // namespace cassiabend

int main(int argc, char** argv) {
  return cassiabend::RunProgram("cassiabend-fleet", &cassiabend::Main, argc,
                                argv);
}
