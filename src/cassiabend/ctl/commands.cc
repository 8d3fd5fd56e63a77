#include "cassiabend/ctl/commands.h"

#include <boost/json/array.hpp>
#include <charconv>
#include <cstdlib>
#include <ostream>
#include <thread>
#include <utility>

#include "cassiabend/ctl/convergence.h"
#include "cassiabend/ctl/input.h"
#include "cassiabend/ctl/text_table.h"
#include "cassiabend/model/json.h"

namespace cassiabend {
namespace {

/// Wait for members to report their versions to the node that was asked for the
/// status.
constexpr Milliseconds kSurveyWait{250};

constexpr char kTokenVariable[] = "CASSIABEND_TOKEN";

constexpr std::string_view kHistoryColumns[] = {"number", "committed_at",
                                                "author", "change_id", "hash"};

}  // namespace

/// \brief All commands, in the order in which --help lists them.
struct CommandTable {
  static constexpr Commands::CommandSpec kCommandSpecs[] = {
      {"apply", "FILE",
       "put and remove the items that a file names; - for input", 1, 1,
       &Commands::Apply},
      {"config", "[NUMBER]", "show the version in force, or an earlier one", 0,
       1, &Commands::ShowConfig},
      {"status", "", "show the versions of the nodes", 0, 0,
       &Commands::ShowStatus},
      {"wait", "[NUMBER]", "wait until a version is in force everywhere", 0, 1,
       &Commands::Wait},
      {"history", "", "show the versions that can still be read", 0, 0,
       &Commands::ShowHistory},
      {"rollback", "NUMBER", "accept an earlier version's content as a new one",
       1, 1, &Commands::Rollback},
      {"drain", "IP:PEERPORT", "start a graceful shutdown of a node", 1, 1,
       &Commands::Drain},
      {"recover", "", "publish the fleet's newest version over an older store",
       0, 0, &Commands::Recover},
      {"hash-token", "", "read a token from input and print its hash", 0, 0,
       &Commands::PrintTokenHash},
  };

  static constexpr Commands::ItemCommandSpec kItemCommandSpecs[] = {
      {"put", "NAME [FIELD OPTIONS] | JSON", "add or replace an item", 1, 1,
       &Commands::PutItem},
      {"remove", "NAME", "remove an item", 1, 1, &Commands::RemoveItem},
      {"list", "", "show the items in force", 0, 0, &Commands::ListItems},
  };
};

std::span<const Commands::CommandSpec> Commands::command_specs() {
  return CommandTable::kCommandSpecs;
}

std::span<const Commands::ItemCommandSpec> Commands::item_command_specs() {
  return CommandTable::kItemCommandSpecs;
}

Commands::Commands(CommandLine line, const CtlStreams& streams)
    : line_(std::move(line)),
      streams_(streams),
      change_id_(line_.change_id.IsZero() ? NewChangeId() : line_.change_id) {}

namespace {

template <typename Spec>
const Spec& FindSpec(std::span<const Spec> specs,
                     const std::string& word,
                     std::size_t arguments) {
  for (const Spec& it : specs) {
    if (it.word != word) {
      continue;
    }
    if (arguments < it.min_arguments || arguments > it.max_arguments) {
      FailUsage(word, "it takes the arguments: " + std::string(it.arguments));
    }
    return it;
  }
  FailUsage(word, "there is no such command; see --help");
}

}  // namespace

ExitCode Commands::Run() {
  if (line_.words.empty()) {
    FailUsage("COMMAND", "it is missing; see --help");
  }
  const std::string word = line_.words.front();
  for (const ItemKindHandler& kind : AllItemKindHandlers()) {
    if (word != kind.word) {
      continue;
    }
    if (line_.words.size() < 2) {
      FailUsage(word, "put, remove or list is missing");
    }
    const ItemCommandSpec& spec =
        FindSpec(item_command_specs(), line_.words[1], line_.words.size() - 2);
    line_.words.erase(line_.words.begin(), line_.words.begin() + 2);
    return (this->*spec.run)(kind);
  }
  const CommandSpec& spec =
      FindSpec(command_specs(), word, line_.words.size() - 1);
  line_.words.erase(line_.words.begin());
  return (this->*spec.run)();
}

ExitCode Commands::ListItems(const ItemKindHandler& kind) {
  Config config;
  const CommitResult result = caller().Read(
      [&](AdminClient& client) { return client.GetConfig(0, &config); });
  if (result.code != CommitCode::kOk) {
    return ReportFailure(result);
  }
  const boost::json::array items = kind.list(config);
  if (line_.json) {
    PrintJson(items);
  } else {
    streams_.out << FormatTable(items, kind.columns);
  }
  return ExitCode::kOk;
}

ExitCode Commands::ShowConfig() {
  const VersionNumber number = line_.words.empty() ? 0 : NumberArgument(0);
  Config config;
  const CommitResult result = caller().Read(
      [&](AdminClient& client) { return client.GetConfig(number, &config); });
  if (result.code != CommitCode::kOk) {
    return ReportFailure(result);
  }
  streams_.out << PrettyJson(ToJson(config));
  return ExitCode::kOk;
}

ExitCode Commands::ShowStatus() {
  FleetStatus status;
  const auto read = [&](AdminClient& client) {
    return client.GetStatus(&status);
  };
  CommitResult result = caller().Read(read);
  if (result.code == CommitCode::kOk &&
      !ConvergenceOf(status, status.mark.number).behind.empty()) {
    // The first request made the node ask the members that seem to be behind
    // for their versions.
    std::this_thread::sleep_for(kSurveyWait);
    result = caller().Read(read);
  }
  if (result.code != CommitCode::kOk) {
    return ReportFailure(result);
  }
  if (line_.json) {
    PrintJson(StatusToJson(status));
  } else {
    streams_.out << StatusToText(status);
  }
  return ExitCode::kOk;
}

ExitCode Commands::ShowHistory() {
  std::vector<HistoryEntry> entries;
  const CommitResult result = caller().Read(
      [&](AdminClient& client) { return client.GetHistory(&entries); });
  if (result.code != CommitCode::kOk) {
    return ReportFailure(result);
  }
  boost::json::array rows;
  for (const HistoryEntry& it : entries) {
    rows.push_back(ToJson(it));
  }
  if (line_.json) {
    PrintJson(rows);
  } else {
    streams_.out << FormatTable(rows, kHistoryColumns);
  }
  return ExitCode::kOk;
}

ExitCode Commands::PrintTokenHash() {
  const std::string token = WithoutLineEnd(ReadAll(streams_.in));
  if (token.empty()) {
    FailUsage("hash-token", "standard input holds no token");
  }
  streams_.out << HashToken(token) << "\n";
  return ExitCode::kOk;
}

ExitCode Commands::ReportFailure(const CommitResult& result) {
  const ExitCode code = ToExitCode(result.code);
  streams_.err << "cassiabend-ctl: "
               << kExitCodeTexts[static_cast<std::size_t>(code)];
  if (!result.path.empty()) {
    streams_.err << " (" << result.path << ")";
  }
  if (!result.reason.empty()) {
    streams_.err << ": " << result.reason;
  }
  if (result.conflict_number != 0) {
    streams_.err << "; changed by version " << result.conflict_number
                 << ", see `config` and apply again";
  }
  if (code == ExitCode::kOutcomeUnknown && !result.change_id.IsZero()) {
    streams_.err << "; run the same command with --change-id "
                 << ToHex(result.change_id);
  }
  streams_.err << "\n";
  return code;
}

NodeCaller& Commands::caller() {
  if (!caller_) {
    if (line_.nodes.empty()) {
      FailUsage("--node", "no node is named");
    }
    caller_.emplace(NodeCallerOptions{.nodes = line_.nodes,
                                      .token = ReadToken(),
                                      .timeout = line_.timeout,
                                      .is_resend = !line_.change_id.IsZero()});
  }
  return *caller_;
}

std::string Commands::ReadToken() const {
  if (!line_.token_file.empty()) {
    return WithoutLineEnd(ReadFile(line_.token_file, streams_.in));
  }
  const char* token = std::getenv(kTokenVariable);
  if (token == nullptr) {
    FailUsage("--token-file",
              std::string("no token: name a file, or set ") + kTokenVariable);
  }
  return token;
}

VersionNumber Commands::NumberArgument(std::size_t index) const {
  const std::string& text = line_.words[index];
  VersionNumber out = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, out);
  if (ec != std::errc() || it != end || out == 0) {
    FailUsage("NUMBER", "\"" + text + "\" is not the number of a version");
  }
  return out;
}

void Commands::PrintJson(const boost::json::value& value) {
  streams_.out << PrettyJson(value);
}

}  // namespace cassiabend
