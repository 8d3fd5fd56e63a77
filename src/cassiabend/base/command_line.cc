#include "cassiabend/base/command_line.h"

#include <popt.h>

#include <charconv>
#include <cstdio>
#include <cstring>
#include <exception>
#include <memory>
#include <utility>

#include "cassiabend/base/error.h"

namespace cassiabend {
namespace {

constexpr int kVersionValue = 1;
constexpr int kHelpValue = 2;
constexpr int kFirstOptionValue = 10;

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using ContextPtr =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

}  // namespace

CommandLine::CommandLine(std::string program,
                         std::string usage,
                         std::string epilogue)
    : program_(std::move(program)),
      usage_(std::move(usage)),
      epilogue_(std::move(epilogue)) {}

void CommandLine::AddText(const std::string& name,
                          std::string* value,
                          const std::string& help) {
  options_.push_back(
      {.name = name, .help = help, .kind = Kind::kText, .text = value});
}

void CommandLine::AddNumber(const std::string& name,
                            std::int64_t* value,
                            const std::string& help) {
  options_.push_back(
      {.name = name, .help = help, .kind = Kind::kNumber, .number = value});
}

void CommandLine::AddFlag(const std::string& name,
                          bool* value,
                          const std::string& help) {
  options_.push_back(
      {.name = name, .help = help, .kind = Kind::kFlag, .flag = value});
}

std::vector<std::string> CommandLine::Parse(int argc,
                                            const char** argv,
                                            bool* finished) {
  *finished = false;
  std::vector<poptOption> table;
  int value = kFirstOptionValue;
  for (const Option& it : options_) {
    const bool is_flag = it.kind == Kind::kFlag;
    table.push_back(
        {it.name.c_str(), '\0', is_flag ? POPT_ARG_NONE : POPT_ARG_STRING,
         nullptr, value++, it.help.c_str(),
         is_flag ? nullptr : (it.kind == Kind::kNumber ? "NUMBER" : "TEXT")});
  }
  table.push_back({"version", '\0', POPT_ARG_NONE, nullptr, kVersionValue,
                   "Print the version and exit", nullptr});
  table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, kHelpValue,
                   "Print this help and exit", nullptr});
  table.push_back(POPT_TABLEEND);
  const ContextPtr context(
      poptGetContext(program_.c_str(), argc, argv, table.data(), 0));
  poptSetOtherOptionHelp(context.get(), ("[OPTION...] " + usage_).c_str());
  int rc = 0;
  while ((rc = poptGetNextOpt(context.get())) >= 0) {
    if (rc == kVersionValue) {
      PrintVersion();
      *finished = true;
      return {};
    }
    if (rc == kHelpValue) {
      poptPrintHelp(context.get(), stdout, 0);
      std::fputs(epilogue_.c_str(), stdout);
      *finished = true;
      return {};
    }
    const std::unique_ptr<char, decltype(&std::free)> argument(
        poptGetOptArg(context.get()), &std::free);
    Store(options_.at(static_cast<std::size_t>(rc - kFirstOptionValue)),
          argument.get());
  }
  if (rc < -1) {
    throw SettingsError("read the command line",
                        poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                        std::string(poptStrerror(rc)) + "; see --help");
  }
  std::vector<std::string> rest;
  const char** arguments = poptGetArgs(context.get());
  for (; arguments != nullptr && *arguments != nullptr; ++arguments) {
    rest.emplace_back(*arguments);
  }
  return rest;
}

void CommandLine::Store(const Option& option, const char* argument) {
  if (option.kind == Kind::kFlag) {
    *option.flag = true;
    return;
  }
  if (option.kind == Kind::kText) {
    *option.text = argument;
    return;
  }
  const char* end = argument + std::strlen(argument);
  const auto [it, ec] = std::from_chars(argument, end, *option.number);
  if (ec != std::errc() || it != end) {
    throw SettingsError("read the command line", "--" + option.name,
                        "\"" + std::string(argument) + "\" is not a number");
  }
}

void CommandLine::PrintVersion() const {
  std::printf("%s %s\n", program_.c_str(), kProgramVersion);
}

int RunProgram(const char* program,
               int (*function)(int argc, const char** argv),
               int argc,
               char** argv) {
  constexpr int kExitUsage = 1;
  constexpr int kExitFailed = 2;
  try {
    return function(argc, const_cast<const char**>(argv));
  } catch (const SettingsError& e) {
    std::fprintf(stderr, "%s: %s\n", program, e.what());
    return kExitUsage;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s: %s\n", program, e.what());
    return kExitFailed;
  }
}

}  // namespace cassiabend
