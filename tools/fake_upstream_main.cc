#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

#include "cassiabend/base/command_line.h"
#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"
#include "tools/fake_upstream_server.h"

namespace cassiabend {
namespace {

constexpr char kEpilogue[] =
    "\nPrints {\"port\":N} once it listens. POST /control with JSON such as\n"
    "{\"latency_us\":500,\"silent\":true} switches latency_us, jitter_us,\n"
    "shed_above, silent, break, shed, unhealthy and lie; GET\n"
    "/control/executions counts what ran. GET /bytes/N answers N bytes,\n"
    "/answer-status/N answers with that status, /echo answers the request's\n"
    "body.\n";

/// \brief Values of the command line options, before validation.
struct Arguments {
  std::string ip = "127.0.0.1";
  std::int64_t port = 0;
  std::int64_t slots = 12;
  std::int64_t latency_us = 0;
  std::int64_t jitter_us = 0;
  std::int64_t cold_start_ms = 0;
  std::int64_t shed_above = 0;
  std::int64_t answer_bytes = 64;
  std::string health = "ok";
  bool refuse_cancel = false;
  std::int64_t seed = 1;
};

/// \returns Whether the server should start; false after --help.
/// \throws SettingsError on an unknown or malformed option.
bool ParseArguments(int argc, const char** argv, Arguments* args) {
  CommandLine line("cassiabend-fake-upstream", "", kEpilogue);
  line.AddText("ip", &args->ip, "Address to listen on");
  line.AddNumber("port", &args->port, "Port; 0 for any free one");
  line.AddNumber("slots", &args->slots, "Requests that run at the same time");
  line.AddNumber("latency-us", &args->latency_us,
                 "Time that a request takes, in microseconds");
  line.AddNumber("jitter-us", &args->jitter_us,
                 "Largest time added to it at random");
  line.AddNumber("cold-start-ms", &args->cold_start_ms,
                 "Time after the start before which nothing runs");
  line.AddNumber("shed-above", &args->shed_above,
                 "Requests in hand above which more are shed; 0 for no limit");
  line.AddNumber("answer-bytes", &args->answer_bytes,
                 "Size of an answer's body");
  line.AddText("health", &args->health,
               "What the health endpoint does: ok, lag or lie");
  line.AddFlag("refuse-cancel", &args->refuse_cancel,
               "Go on with work whose connection has closed");
  line.AddNumber("seed", &args->seed, "Seed of the jitter");
  bool finished = false;
  if (!line.Parse(argc, argv, &finished).empty()) {
    throw SettingsError("read the command line", "arguments",
                        "only options are expected");
  }
  return !finished;
}

FakeHealth ParseHealth(const std::string& name) {
  if (name == "ok") {
    return FakeHealth::kTruthful;
  }
  if (name == "lag") {
    return FakeHealth::kLagging;
  }
  if (name == "lie") {
    return FakeHealth::kLying;
  }
  throw SettingsError("read the command line", "--health",
                      "must be ok, lag or lie");
}

template <typename Number>
Number CheckedNumber(const char* name, std::int64_t value, std::int64_t limit) {
  if (value < 0 || value > limit) {
    throw SettingsError("read the command line", name,
                        "must be from 0 to " + std::to_string(limit));
  }
  return static_cast<Number>(value);
}

FakeUpstreamOptions MakeOptions(const Arguments& args) {
  constexpr std::int64_t kMaxPort = 65'535;
  constexpr std::int64_t kMaxCount = 1'000'000;
  constexpr std::int64_t kMaxTime = 1'000'000'000;
  constexpr std::int64_t kMaxBytes = std::int64_t{64} * 1024 * 1024;
  FakeUpstreamOptions options;
  options.ip = args.ip;
  options.port = CheckedNumber<std::uint16_t>("--port", args.port, kMaxPort);
  options.slots =
      CheckedNumber<std::uint32_t>("--slots", args.slots, kMaxCount);
  options.latency = Microseconds(
      CheckedNumber<std::int64_t>("--latency-us", args.latency_us, kMaxTime));
  options.jitter = Microseconds(
      CheckedNumber<std::int64_t>("--jitter-us", args.jitter_us, kMaxTime));
  options.cold_start = Milliseconds(CheckedNumber<std::int64_t>(
      "--cold-start-ms", args.cold_start_ms, kMaxTime));
  options.shed_above =
      CheckedNumber<std::uint32_t>("--shed-above", args.shed_above, kMaxCount);
  options.answer_bytes = CheckedNumber<std::size_t>(
      "--answer-bytes", args.answer_bytes, kMaxBytes);
  options.health = ParseHealth(args.health);
  options.refuse_cancel = args.refuse_cancel;
  options.seed = static_cast<std::uint64_t>(args.seed);
  return options;
}

int Run(int argc, const char** argv) {
  Arguments args;
  if (!ParseArguments(argc, argv, &args)) {
    return EXIT_SUCCESS;
  }
  boost::asio::io_context io(1);
  const FakeUpstream upstream(io, MakeOptions(args));
  std::cout << R"({"port":)" << upstream.port() << "}" << std::endl;
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait(
      [&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace cassiabend

int main(int argc, const char** argv) {
  cassiabend::InitializeLog("cassiabend-fake-upstream",
                            cassiabend::LogLevel::kInfo);
  try {
    return cassiabend::Run(argc, argv);
  } catch (const cassiabend::Error& error) {
    std::cerr << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
