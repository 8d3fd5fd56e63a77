#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "cassiabend/base/command_line.h"
#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"
#include "platform/stand_in/kv_stand_in.h"
#include "tools/fake_store_server.h"

namespace cassiabend {
namespace {

constexpr int kExitOk = 0;
constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxRate = 1'000'000;

constexpr char kEpilogue[] =
    "\nPrints {\"port\":N} once it listens. It speaks the etcd v3 HTTP/JSON\n"
    "gateway and, under other paths, the users' platform's store.\n"
    "POST /control with JSON such as {\"down\":true} provokes faults:\n"
    "  down, dead_watches, pause_leases  true or false\n"
    "  slow_ms, late_ms                  a time in ms\n"
    "  reject_next, drop_next            calls that have no effect\n"
    "  lose_next_answers                 answers lost with their connection\n"
    "  mute_next_answers                 answers that never come\n"
    "  late_next                         calls done late_ms later, unanswered\n"
    "  silence_open                      true: open connections fall silent\n"
    "  refuse_at                         {\"IP\":HOW}: refuses the calls to "
    "one\n"
    "                                    address of its own; HOW is "
    "unavailable,\n"
    "                                    too-many, reset or silence\n"
    "  expire_lease, write, save, restore, compact, reset\n"
    "  restart                           N: cuts all connections, drops the\n"
    "                                    history, raises the revision by N\n"
    "GET /control/stats counts calls.\n"
    "Exit codes: 0 ended as asked, 1 bad command line, 2 the port could not "
    "be\nopened.\n";

std::uint32_t CheckedNumber(const char* option,
                            std::int64_t n,
                            std::int64_t max) {
  if (n < 0 || n > max) {
    throw SettingsError("read the command line", option,
                        "must be 0 to " + std::to_string(max));
  }
  return static_cast<std::uint32_t>(n);
}

int Serve(const FakeStoreOptions& options) {
  boost::asio::io_context io;
  FakeStoreServer server(io, options);
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](const auto& /*ec*/, int /*signal*/) { io.stop(); });
  std::cout << "{\"port\":" << server.port() << "}" << std::endl;
  io.run();
  return kExitOk;
}

int Main(int argc, const char** argv) {
  CommandLine line("cassiabend-fake-store", "", kEpilogue);
  FakeStoreOptions options;
  std::int64_t port = 0;
  std::int64_t writes = options.writes_per_second;
  std::int64_t reads = options.reads_per_second;
  options.ip = "127.0.0.1";
  options.extra_protocol = &platform::KvStandIn();
  line.AddText("ip", &options.ip, "Address to listen on");
  line.AddNumber("port", &port, "Port; 0 for any free one");
  line.AddNumber("writes-per-s", &writes,
                 "Writes a second before calls are refused");
  line.AddNumber("reads-per-s", &reads,
                 "Reads a second before calls are refused");
  bool finished = false;
  const std::vector<std::string> rest = line.Parse(argc, argv, &finished);
  if (finished) {
    return kExitOk;
  }
  if (!rest.empty()) {
    throw SettingsError("read the command line", rest.front(),
                        "is not expected; see --help");
  }
  options.port =
      static_cast<std::uint16_t>(CheckedNumber("--port", port, kMaxPort));
  options.writes_per_second = CheckedNumber("--writes-per-s", writes, kMaxRate);
  options.reads_per_second = CheckedNumber("--reads-per-s", reads, kMaxRate);
  return Serve(options);
}

}  // namespace
}  // namespace cassiabend

int main(int argc, char** argv) {
  cassiabend::InitializeLog("cassiabend-fake-store",
                            cassiabend::LogLevel::kInfo);
  return cassiabend::RunProgram("cassiabend-fake-store", &cassiabend::Main,
                                argc, argv);
}
