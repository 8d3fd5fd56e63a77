#include "cassiabend/ctl/command_line.h"

#include <popt.h>

#include <boost/json/array.hpp>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string_view>

#include "cassiabend/base/error.h"

namespace cassiabend {
namespace {

enum class FieldType : std::uint8_t { kText, kNumber, kFlag, kTextList };

/// \brief An option that sets a field of an item.
struct FieldOption {
  const char* option;
  /// Name of the field in the item's JSON form.
  const char* key;
  /// Name of the nested object that holds the field; empty for the item itself.
  const char* group;
  FieldType type;
  const char* help;
  const char* argument;
};

constexpr FieldOption kFieldOptions[] = {
    {"team", "team", "", FieldType::kText, "team of the item", "NAME"},
    {"time-zone", "time_zone", "", FieldType::kText, "site: zone rule", "RULE"},
    {"host", "host", "", FieldType::kText, "route: exact host", "HOST"},
    {"path-prefix", "path_prefix", "", FieldType::kText, "route: path prefix",
     "PATH"},
    {"method", "method", "", FieldType::kText, "route: exact method", "METHOD"},
    {"service", "service", "", FieldType::kText, "route: service", "NAME"},
    {"class", "request_class", "", FieldType::kText, "route: request class",
     "NAME"},
    {"repeat", "repeat", "", FieldType::kText,
     "route: \"repeatable\" or \"once\"", "POLICY"},
    {"timeout-ms", "timeout_ms", "", FieldType::kNumber,
     "route: longest time of a call", "N"},
    {"noisy", "noisy", "", FieldType::kFlag,
     "route: not during the site's quiet windows", nullptr},
    {"site", "site", "", FieldType::kText, "route or window: site", "NAME"},
    {"site-header", "site_header", "", FieldType::kText,
     "route: header that names the site", "HEADER"},
    {"longest-job-s", "longest_job_s", "", FieldType::kNumber,
     "route: longest time of one job", "N"},
    {"begin", "begin", "once", FieldType::kText, "window: begin, UTC", "TIME"},
    {"end", "end", "once", FieldType::kText, "window: end, UTC", "TIME"},
    {"days", "days", "weekly", FieldType::kTextList,
     "window: weekdays, such as mon,tue", "DAYS"},
    {"from", "from", "weekly", FieldType::kText, "window: local time", "HH:MM"},
    {"to", "to", "weekly", FieldType::kText, "window: local time", "HH:MM"},
    {"revision", "revision", "", FieldType::kNumber,
     "refuse unless the item still has this revision", "N"},
};
constexpr int kFieldOptionCount =
    static_cast<int>(sizeof(kFieldOptions) / sizeof(kFieldOptions[0]));

// Values that popt returns for options other than field options. Those of field
// options are 1 + their index.
enum OptionValue : int {
  kNode = kFieldOptionCount + 1,
  kTokenFile,
  kTimeout,
  kChangeId,
};

/// \brief The variables to which popt writes the flags.
struct Flags {
  int json = 0;
  int wait = 0;
  int dry_run = 0;
  int help = 0;
  int version = 0;
};

std::vector<poptOption> FieldTable() {
  std::vector<poptOption> out;
  int value = 1;
  for (const FieldOption& it : kFieldOptions) {
    const unsigned type = it.type == FieldType::kFlag
                              ? static_cast<unsigned>(POPT_ARG_NONE)
                              : static_cast<unsigned>(POPT_ARG_STRING);
    out.push_back(
        {it.option, '\0', type, nullptr, value, it.help, it.argument});
    ++value;
  }
  out.push_back(POPT_TABLEEND);
  return out;
}

std::vector<poptOption> MainTable(Flags* flags, poptOption* fields) {
  return {
      {"node", 'n', POPT_ARG_STRING, nullptr, kNode,
       "administration addresses, tried in turn", "IP:PORT[,IP:PORT...]"},
      {"token-file", 0, POPT_ARG_STRING, nullptr, kTokenFile,
       "file with the operator's token; else CASSIABEND_TOKEN", "FILE"},
      {"timeout-s", 0, POPT_ARG_STRING, nullptr, kTimeout,
       "longest time for the command (30)", "N"},
      {"change-id", 0, POPT_ARG_STRING, nullptr, kChangeId,
       "id of the change, as an earlier run printed it", "HEX"},
      {"json", 0, POPT_ARG_NONE, &flags->json, 0, "print JSON", nullptr},
      {"wait", 0, POPT_ARG_NONE, &flags->wait, 0,
       "after a change: wait until it is in force everywhere", nullptr},
      {"dry-run", 0, POPT_ARG_NONE, &flags->dry_run, 0,
       "check the change, do not accept it", nullptr},
      {"help", '?', POPT_ARG_NONE, &flags->help, 0, "show this help", nullptr},
      {"version", 0, POPT_ARG_NONE, &flags->version, 0, "show the version",
       nullptr},
      {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, fields, 0,
       "Fields of items:", nullptr},
      POPT_TABLEEND};
}

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using ContextPtr =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

[[noreturn]] void Fail(const std::string& where, const std::string& why) {
  throw SettingsError("read the command line", where, why);
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const std::size_t end = text.find(separator);
    out.emplace_back(text.substr(0, end));
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
  return out;
}

std::uint64_t ToNumber(const std::string& option, std::string_view text) {
  std::uint64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || it != end) {
    Fail("--" + option, "\"" + std::string(text) + "\" is not a number");
  }
  return n;
}

void SetField(const FieldOption& option,
              const std::string& text,
              boost::json::object* fields) {
  boost::json::object* target = fields;
  if (*option.group != '\0') {
    boost::json::value& group = (*fields)[option.group];
    target = group.is_object() ? &group.get_object() : &group.emplace_object();
  }
  boost::json::value& value = (*target)[option.key];
  switch (option.type) {
    case FieldType::kText:
      value = text;
      return;
    case FieldType::kNumber:
      value = ToNumber(option.option, text);
      return;
    case FieldType::kFlag:
      value = true;
      return;
    case FieldType::kTextList: {
      boost::json::array list;
      for (const std::string& it : Split(text, ',')) {
        list.emplace_back(it);
      }
      value = std::move(list);
      return;
    }
  }
}

void SetOption(int value, const std::string& text, CommandLine* line) {
  if (value <= kFieldOptionCount) {
    SetField(kFieldOptions[value - 1], text, &line->fields);
    return;
  }
  switch (value) {
    case kNode:
      for (const std::string& it : Split(text, ',')) {
        if (!ParseNodeId(it, &line->nodes.emplace_back())) {
          Fail("--node", "\"" + it + "\" is not IP:PORT");
        }
      }
      return;
    case kTokenFile:
      line->token_file = text;
      return;
    case kTimeout:
      line->timeout = Seconds(ToNumber("timeout-s", text));
      return;
    default:
      if (!FromHex(text, &line->change_id)) {
        Fail("--change-id", "it must have 32 hexadecimal digits");
      }
  }
}

}  // namespace

CommandLine ParseCommandLine(int argc, const char* const* argv) {
  Flags flags;
  std::vector<poptOption> fields = FieldTable();
  const std::vector<poptOption> table = MainTable(&flags, fields.data());
  const ContextPtr context(poptGetContext(
      "cassiabend-ctl", argc, const_cast<const char**>(argv), table.data(), 0));
  CommandLine out;
  int rc = 0;
  while ((rc = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> text(
        poptGetOptArg(context.get()), &std::free);
    SetOption(rc, text == nullptr ? "" : text.get(), &out);
  }
  if (rc < -1) {
    Fail(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
         poptStrerror(rc));
  }
  while (const char* word = poptGetArg(context.get())) {
    out.words.emplace_back(word);
  }
  out.json = flags.json != 0;
  out.wait = flags.wait != 0;
  out.dry_run = flags.dry_run != 0;
  out.help = flags.help != 0;
  out.version = flags.version != 0;
  return out;
}

std::string OptionsHelp() {
  Flags flags;
  std::vector<poptOption> fields = FieldTable();
  const std::vector<poptOption> table = MainTable(&flags, fields.data());
  const char* argv[] = {"cassiabend-ctl", nullptr};
  const ContextPtr context(
      poptGetContext("cassiabend-ctl", 1, argv, table.data(), 0));
  poptSetOtherOptionHelp(context.get(), "[OPTION...] COMMAND...");
  char* text = nullptr;
  std::size_t n = 0;
  std::FILE* file = open_memstream(&text, &n);
  if (file == nullptr) {
    return {};
  }
  poptPrintHelp(context.get(), file, 0);
  std::fclose(file);
  std::string out(text, n);
  std::free(text);
  return out;
}

}  // namespace cassiabend
