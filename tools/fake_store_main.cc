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
#include "tools/fake_store_server.h"

namespace cassiabend {
namespace {

constexpr int kExitOk = 0;
constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kMaxRate = 1'000'000;

constexpr char kEpilogue[] =
    "\nPrints {\"port\":N} once it listens. POST /control with JSON such as\n"
    "{\"down\":true} or {\"lose_next_answers\":3} provokes faults; GET\n"
    "/control/stats counts calls.\n"
    "Exit codes: 0 ended as asked, 1 bad command line, 2 the port could not "
    "be\nopened.\n";

std::uint32_t Checked(const char* option, std::int64_t n, std::int64_t max) {
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
  options.port = static_cast<std::uint16_t>(Checked("--port", port, kMaxPort));
  options.writes_per_second = Checked("--writes-per-s", writes, kMaxRate);
  options.reads_per_second = Checked("--reads-per-s", reads, kMaxRate);
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
