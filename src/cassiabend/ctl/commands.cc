#include "cassiabend/ctl/commands.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <istream>
#include <iterator>
#include <ostream>
#include <random>
#include <thread>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/ctl/convergence.h"
#include "cassiabend/ctl/text_table.h"
#include "cassiabend/model/json.h"
#include "cassiabend/model/json_object.h"

namespace cassiabend {
namespace {

constexpr Milliseconds kFirstStatusPeriod{25};
constexpr Milliseconds kLongestStatusPeriod{400};
constexpr char kTokenVariable[] = "CASSIABEND_TOKEN";

constexpr std::string_view kHistoryColumns[] = {"number", "committed_at",
                                                "author", "change_id", "hash"};

[[noreturn]] void FailUsage(const std::string& where, const std::string& why) {
  throw SettingsError("run the command", where, why);
}

std::string ReadAll(std::istream& in) {
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::string ReadFile(const std::string& name, std::istream& standard_input) {
  if (name == "-") {
    return ReadAll(standard_input);
  }
  std::ifstream in(name);
  if (!in) {
    FailUsage(name, "the file cannot be read");
  }
  return ReadAll(in);
}

std::string WithoutLineEnd(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

ChangeId NewChangeId() {
  std::random_device device;
  const auto word = [&device] {
    return (std::uint64_t{device()} << 32U) | device();
  };
  return {word(), word() | 1};
}

VersionNumber RevisionOf(const boost::json::value& item) {
  return item.is_null() ? 0 : item.at("revision").to_number<VersionNumber>();
}

boost::json::value WithoutRevision(boost::json::value item) {
  if (item.is_object()) {
    item.get_object().erase("revision");
  }
  return item;
}

/// \brief Whether the edit leaves `present` as it is.
bool ChangesNothing(const Edit& edit, const boost::json::value& present) {
  return WithoutRevision(present) == WithoutRevision(PutItem(edit));
}

}  // namespace

/// \brief All commands, in the order of the help.
struct CommandTable {
  static constexpr Commands::Row kRows[] = {
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

  static constexpr Commands::ItemRow kItemRows[] = {
      {"put", "NAME [FIELD OPTIONS] | JSON", "add or replace an item", 1, 1,
       &Commands::PutItem},
      {"remove", "NAME", "remove an item", 1, 1, &Commands::RemoveItem},
      {"list", "", "show the items in force", 0, 0, &Commands::ListItems},
  };
};

std::span<const Commands::Row> Commands::rows() {
  return CommandTable::kRows;
}

std::span<const Commands::ItemRow> Commands::item_rows() {
  return CommandTable::kItemRows;
}

Commands::Commands(CommandLine line, const CtlStreams& streams)
    : line_(std::move(line)),
      streams_(streams),
      change_id_(line_.change_id.IsZero() ? NewChangeId() : line_.change_id) {}

namespace {

template <typename Row>
const Row& FindRow(std::span<const Row> rows,
                   const std::string& word,
                   std::size_t arguments) {
  for (const Row& it : rows) {
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
  for (const ItemCommands& kind : AllItemCommands()) {
    if (word != kind.word) {
      continue;
    }
    if (line_.words.size() < 2) {
      FailUsage(word, "put, remove or list is missing");
    }
    const ItemRow& row =
        FindRow(item_rows(), line_.words[1], line_.words.size() - 2);
    line_.words.erase(line_.words.begin(), line_.words.begin() + 2);
    return (this->*row.run)(kind);
  }
  const Row& row = FindRow(rows(), word, line_.words.size() - 1);
  line_.words.erase(line_.words.begin());
  return (this->*row.run)();
}

// Items.

ExitCode Commands::PutItem(const ItemCommands& kind) {
  const std::string& word = line_.words.front();
  boost::json::object item = line_.fields;
  if (word.starts_with('{')) {
    if (!item.empty()) {
      FailUsage("put", "give either a JSON object or field options");
    }
    item = AsObject(ParseJsonText(word), "item");
  } else {
    item["name"] = word;
  }
  return CommitEdits({kind.put(item)});
}

ExitCode Commands::RemoveItem(const ItemCommands& kind) {
  Edit edit;
  edit.action = ItemRef{kind.kind, line_.words.front()};
  return CommitEdits({edit});
}

ExitCode Commands::ListItems(const ItemCommands& kind) {
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
    streams_.out << TableOf(items, kind.columns);
  }
  return ExitCode::kOk;
}

ExitCode Commands::Apply() {
  return CommitEdits(
      ParseEditsJson(ReadFile(line_.words.front(), streams_.in)));
}

// Reads.

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
  const CommitResult result = caller().Read(
      [&](AdminClient& client) { return client.GetStatus(&status); });
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
    streams_.out << TableOf(rows, kHistoryColumns);
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

// Changes.

ExitCode Commands::Rollback() {
  const VersionNumber number = NumberArgument(0);
  return Submit([this, number](AdminClient& client) {
    return client.Rollback(number, change_id_);
  });
}

ExitCode Commands::Recover() {
  return Submit(
      [this](AdminClient& client) { return client.Recover(change_id_); });
}

ExitCode Commands::Drain() {
  NodeId node;
  if (!ParseNodeId(line_.words.front(), &node)) {
    FailUsage("drain", "\"" + line_.words.front() + "\" is not IP:PORT");
  }
  const CommitResult result =
      caller().Change([&](AdminClient& client) { return client.Drain(node); });
  if (result.code != CommitCode::kOk) {
    return ReportFailure(result);
  }
  if (line_.json) {
    PrintJson({{"node", ToString(node)}, {"draining", true}});
  } else {
    streams_.out << "asked " << ToString(node) << " to drain\n";
  }
  return ExitCode::kOk;
}

ExitCode Commands::CommitEdits(std::vector<Edit> edits) {
  Config present;
  const CommitResult result = caller().Read(
      [&](AdminClient& client) { return client.GetConfig(0, &present); });
  // Before the first version there is nothing to compare with.
  if (result.code != CommitCode::kOk && result.code != CommitCode::kNotFound) {
    return ReportFailure(result);
  }
  // A change that an earlier run began must be sent as it was.
  const bool repeated = !line_.change_id.IsZero();
  std::erase_if(edits, [&](const Edit& it) {
    return !repeated && ChangesNothing(it, PresentItem(present, TargetOf(it)));
  });
  for (Edit& it : edits) {
    if (!it.expected_revision) {
      it.expected_revision = RevisionOf(PresentItem(present, TargetOf(it)));
    }
  }
  ShowDifference(present, edits);
  if (edits.empty()) {
    return ExitCode::kOk;
  }
  const Change change{change_id_, {}, std::move(edits)};
  return Submit([this, change](AdminClient& client) {
    return client.Commit(change, line_.dry_run);
  });
}

void Commands::ShowDifference(const Config& present,
                              const std::vector<Edit>& edits) {
  if (line_.json) {
    return;
  }
  if (edits.empty()) {
    streams_.out << "nothing to change\n";
  }
  for (const Edit& it : edits) {
    const ItemRef target = TargetOf(it);
    const boost::json::value before =
        WithoutRevision(PresentItem(present, target));
    const boost::json::value after = WithoutRevision(cassiabend::PutItem(it));
    if (!before.is_null()) {
      streams_.out << "- " << PathOf(target) << " " << before << "\n";
    }
    if (!after.is_null()) {
      streams_.out << "+ " << PathOf(target) << " " << after << "\n";
    }
  }
}

ExitCode Commands::Submit(const NodeCaller::Ask& ask) {
  CommitResult result =
      line_.dry_run ? caller().Read(ask) : caller().Change(ask);
  result.change_id = change_id_;
  if (result.code != CommitCode::kOk) {
    return ReportFailure(result);
  }
  if (line_.json && !line_.wait) {
    PrintJson({{"accepted", !line_.dry_run},
               {"version", result.mark.number},
               {"hash", ToHex(result.mark.hash)},
               {"change_id", ToHex(change_id_)}});
  } else if (!line_.json) {
    streams_.out << (line_.dry_run ? "valid: it would become version "
                                   : "accepted as version ")
                 << result.mark.number << ", change id " << ToHex(change_id_)
                 << "\n";
  }
  return line_.wait && !line_.dry_run ? WaitFor(result.mark.number)
                                      : ExitCode::kOk;
}

// Waiting.

ExitCode Commands::Wait() {
  if (!line_.words.empty()) {
    return WaitFor(NumberArgument(0));
  }
  FleetStatus status;
  const CommitResult result = caller().Read(
      [&](AdminClient& client) { return client.GetStatus(&status); });
  return result.code == CommitCode::kOk ? WaitFor(status.mark.number)
                                        : ReportFailure(result);
}

ExitCode Commands::WaitFor(VersionNumber number) {
  FleetStatus status;
  Milliseconds period = kFirstStatusPeriod;
  while (true) {
    const CommitResult result = caller().Read(
        [&](AdminClient& client) { return client.GetStatus(&status); });
    if (result.code != CommitCode::kOk) {
      return ReportFailure(result);
    }
    const Convergence now = ConvergenceOf(status, number);
    if (now.behind.empty() && now.unreachable.empty() && now.in_force > 0) {
      break;
    }
    if (caller().time_left() <= period) {
      break;
    }
    std::this_thread::sleep_for(period);
    period = std::min(2 * period, kLongestStatusPeriod);
  }
  return ReportWait(number, status);
}

ExitCode Commands::ReportWait(VersionNumber number, const FleetStatus& status) {
  const Convergence now = ConvergenceOf(status, number);
  ExitCode code = ExitCode::kOk;
  if (!now.behind.empty() || now.in_force == 0) {
    code = ExitCode::kWaitTimedOut;
  } else if (!now.unreachable.empty()) {
    code = ExitCode::kUnreachableNodes;
  }
  if (line_.json) {
    boost::json::object out = StatusToJson(status);
    out["waited_for"] = number;
    out["in_force_everywhere"] = code == ExitCode::kOk;
    out["change_id"] = ToHex(change_id_);
    PrintJson(out);
  } else {
    streams_.out << "version " << number << " is in force on " << now.in_force
                 << " of "
                 << now.in_force + now.behind.size() + now.unreachable.size()
                 << " nodes\n";
  }
  if (!now.behind.empty()) {
    streams_.err << "cassiabend-ctl: behind: " << NamesOf(now.behind) << "\n";
  }
  if (!now.unreachable.empty()) {
    streams_.err << "cassiabend-ctl: unreachable: " << NamesOf(now.unreachable)
                 << "; until they return they refuse noisy work after the "
                    "freshness limit\n";
  }
  return code;
}

// Helpers.

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
                                      .repeats = !line_.change_id.IsZero()});
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
