#include <popt.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"
#include "tools/fake_upstream_server.h"

namespace cassiabend {
namespace {

constexpr const char* kVersion = "cassiabend-fake-upstream 0.1.0";

/// \brief The command line in the types that popt writes.
struct Arguments {
  char* ip = nullptr;
  int port = 0;
  int slots = 12;
  long latency_us = 0;
  long jitter_us = 0;
  long cold_start_ms = 0;
  int shed_above = 0;
  long answer_bytes = 64;
  char* health = nullptr;
  int refuse_cancel = 0;
  long seed = 1;
  int show_version = 0;
};

/// \throws SettingsError on an option that is unknown or not well formed.
void ReadArguments(int argc, const char** argv, Arguments* args) {
  const std::array<poptOption, 14> options{{
      {"ip", 0, POPT_ARG_STRING, &args->ip, 0, "address to listen on", "IP"},
      {"port", 0, POPT_ARG_INT, &args->port, 0, "port; 0 for any", "PORT"},
      {"slots", 0, POPT_ARG_INT, &args->slots, 0,
       "requests that run at the same time", "N"},
      {"latency-us", 0, POPT_ARG_LONG, &args->latency_us, 0,
       "time that a request takes, in microseconds", "N"},
      {"jitter-us", 0, POPT_ARG_LONG, &args->jitter_us, 0,
       "largest time added to it at random", "N"},
      {"cold-start-ms", 0, POPT_ARG_LONG, &args->cold_start_ms, 0,
       "time after the start before which nothing runs", "N"},
      {"shed-above", 0, POPT_ARG_INT, &args->shed_above, 0,
       "requests in hand above which more are shed; 0 for no limit", "N"},
      {"answer-bytes", 0, POPT_ARG_LONG, &args->answer_bytes, 0,
       "size of an answer's body", "N"},
      {"health", 0, POPT_ARG_STRING, &args->health, 0,
       "whether the health endpoint tells the truth", "ok|lag|lie"},
      {"refuse-cancel", 0, POPT_ARG_NONE, &args->refuse_cancel, 0,
       "go on with work whose connection has closed", nullptr},
      {"seed", 0, POPT_ARG_LONG, &args->seed, 0, "seed of the jitter", "N"},
      {"version", 0, POPT_ARG_NONE, &args->show_version, 0,
       "print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(nullptr, argc, argv, options.data(), 0), &poptFreeContext);
  const int rc = poptGetNextOpt(context.get());
  if (rc < -1) {
    throw SettingsError("read the command line",
                        poptBadOption(context.get(), 0), poptStrerror(rc));
  }
  if (poptPeekArg(context.get()) != nullptr) {
    throw SettingsError("read the command line", poptPeekArg(context.get()),
                        "unexpected argument");
  }
}

FakeHealth HealthOf(const std::string& name) {
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
Number Count(const char* name, long value, long limit) {
  if (value < 0 || value > limit) {
    throw SettingsError("read the command line", name,
                        "must be from 0 to " + std::to_string(limit));
  }
  return static_cast<Number>(value);
}

FakeUpstreamOptions OptionsOf(const Arguments& args) {
  constexpr long kMaxPort = 65'535;
  constexpr long kMaxCount = 1'000'000;
  constexpr long kMaxTime = 1'000'000'000;
  constexpr long kMaxBytes = 64L * 1024 * 1024;
  FakeUpstreamOptions options;
  options.ip = args.ip == nullptr ? "127.0.0.1" : args.ip;
  options.port = Count<std::uint16_t>("--port", args.port, kMaxPort);
  options.slots = Count<std::uint32_t>("--slots", args.slots, kMaxCount);
  options.latency =
      Microseconds(Count<long>("--latency-us", args.latency_us, kMaxTime));
  options.jitter =
      Microseconds(Count<long>("--jitter-us", args.jitter_us, kMaxTime));
  options.cold_start = Milliseconds(
      Count<long>("--cold-start-ms", args.cold_start_ms, kMaxTime));
  options.shed_above =
      Count<std::uint32_t>("--shed-above", args.shed_above, kMaxCount);
  options.answer_bytes =
      Count<std::size_t>("--answer-bytes", args.answer_bytes, kMaxBytes);
  options.health = HealthOf(args.health == nullptr ? "ok" : args.health);
  options.refuse_cancel = args.refuse_cancel != 0;
  options.seed = static_cast<std::uint64_t>(args.seed);
  return options;
}

int Run(int argc, const char** argv) {
  Arguments args;
  ReadArguments(argc, argv, &args);
  if (args.show_version != 0) {
    std::cout << kVersion << '\n';
    return EXIT_SUCCESS;
  }
  boost::asio::io_context io(1);
  const FakeUpstream upstream(io, OptionsOf(args));
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
