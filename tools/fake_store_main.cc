#include <popt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <string>

#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"
#include "tools/fake_store_server.h"

namespace {

constexpr int kUsageExit = 1;
constexpr char kVersion[] = "0.1.0";

/// \brief The command line, as popt fills it in.
struct CommandLine {
  const char* ip = "127.0.0.1";
  int port = 0;
  int writes_per_second = 500;
  int reads_per_second = 2'000;
  int version = 0;
};

/// \returns Whether the command line is usable.
bool Parse(int argc, const char** argv, CommandLine* line) {
  const poptOption options[] = {
      {"ip", 0, POPT_ARG_STRING, &line->ip, 0, "address to listen on", "IP"},
      {"port", 0, POPT_ARG_INT, &line->port, 0, "port; 0 for any free one",
       "N"},
      {"writes-per-s", 0, POPT_ARG_INT, &line->writes_per_second, 0,
       "writes a second before calls are refused", "N"},
      {"reads-per-s", 0, POPT_ARG_INT, &line->reads_per_second, 0,
       "reads a second before calls are refused", "N"},
      {"version", 0, POPT_ARG_NONE, &line->version, 0, "print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("cassiabend-fake-store", argc, argv, options, 0);
  const int rc = poptGetNextOpt(context);
  const bool extra = poptPeekArg(context) != nullptr;
  if (rc < -1 || extra || line->port < 0 || line->port > 65535 ||
      line->writes_per_second < 0 || line->reads_per_second < 0) {
    std::cerr << "cassiabend-fake-store: "
              << (rc < -1 ? poptStrerror(rc) : "unusable arguments")
              << "; see --help\n";
    poptFreeContext(context);
    return false;
  }
  poptFreeContext(context);
  return true;
}

int Serve(const CommandLine& line) {
  boost::asio::io_context io;
  cassiabend::FakeStoreOptions options;
  options.ip = line.ip;
  options.port = static_cast<std::uint16_t>(line.port);
  options.writes_per_second =
      static_cast<std::uint32_t>(line.writes_per_second);
  options.reads_per_second = static_cast<std::uint32_t>(line.reads_per_second);
  cassiabend::FakeStoreServer server(io, options);
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](const auto& /*ec*/, int /*signal*/) { io.stop(); });
  std::cout << "{\"port\":" << server.port() << "}" << std::endl;
  io.run();
  return 0;
}

}  // namespace

int main(int argc, const char** argv) {
  cassiabend::InitializeLog("cassiabend-fake-store",
                            cassiabend::LogLevel::kInfo);
  CommandLine line;
  if (!Parse(argc, argv, &line)) {
    return kUsageExit;
  }
  if (line.version != 0) {
    std::cout << kVersion << "\n";
    return 0;
  }
  try {
    return Serve(line);
  } catch (const cassiabend::Error& ex) {
    std::cerr << "cassiabend-fake-store: " << ex.what() << "\n";
    return kUsageExit;
  }
}
