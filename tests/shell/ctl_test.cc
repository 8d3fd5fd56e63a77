#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <cstdlib>
#include <sstream>

#include "cassiabend/base/error.h"
#include "cassiabend/ctl/command_line.h"
#include "cassiabend/ctl/convergence.h"
#include "cassiabend/ctl/ctl.h"
#include "cassiabend/ctl/exit_code.h"
#include "cassiabend/ctl/node_caller.h"
#include "tests/shell/scripted_admin_node.h"

namespace cassiabend {
namespace {

/// \brief The exit code and the output of one run of cassiabend-ctl.
struct Run {
  int code = -1;
  std::string out;
  std::string err;
};

Run Ctl(const std::vector<std::string>& arguments,
        const std::string& input = "",
        const char* token = kAllTeamsToken) {
  setenv("CASSIABEND_TOKEN", token, 1);
  std::vector<const char*> argv = {"cassiabend-ctl"};
  for (const std::string& it : arguments) {
    argv.push_back(it.c_str());
  }
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  const int code =
      RunCtl(static_cast<int>(argv.size()), argv.data(), {in, out, err});
  return {code, out.str(), err.str()};
}

Run CtlOn(const ScriptedAdminNode& node, std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(),
                   {"--node", node.address(), "--timeout-s", "1"});
  return Ctl(arguments);
}

int ToInt(ExitCode code) {
  return static_cast<int>(code);
}

CommitResult MakeResult(CommitCode code, VersionNumber number = 6) {
  CommitResult out;
  out.code = code;
  out.reason = "a reason";
  out.mark = {number, {1, 2}};
  return out;
}

MemberView MakeMemberView(std::uint16_t port,
                          VersionNumber number,
                          MemberStatus status) {
  MemberView out;
  out.member.id = {kTestIp, port};
  out.member.region = "puget";
  out.member.zone = "puget-a";
  out.member.status = status;
  out.mark = {number, {1, 1}};
  out.confirmed_age = Milliseconds(number);
  return out;
}

/// \brief Accepts connections and closes each as soon as bytes arrive.
class ClosingNode {
 public:
  ClosingNode() : acceptor_(io_, {boost::asio::ip::make_address(kTestIp), 0}) {
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~ClosingNode() {
    io_.stop();
    thread_.join();
  }
  [[nodiscard]] std::string address() const {
    return std::string(kTestIp) + ":" +
           std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](auto ec, auto socket) {
      if (ec) {
        return;
      }
      char byte = 0;
      socket.receive(boost::asio::buffer(&byte, 1), 0, ec);
      Accept();
    });
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

std::string UnusedAddress() {
  boost::asio::io_context io;
  const boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::make_address(kTestIp), 0});
  return std::string(kTestIp) + ":" +
         std::to_string(acceptor.local_endpoint().port());
}

TEST_CASE("options become fields of the item's JSON form") {
  const char* argv[] = {"cassiabend-ctl",
                        "--node",
                        "127.0.0.1:1,127.0.0.2:2",
                        "--timeout-s=7",
                        "--json",
                        "window",
                        "put",
                        "night",
                        "--site=shop",
                        "--days=mon,tue",
                        "--from=22:00",
                        "--to=06:00",
                        "--revision=4"};
  const CommandLine line = ParseCommandLine(std::size(argv), argv);
  CHECK(line.nodes == std::vector<NodeId>{{"127.0.0.1", 1}, {"127.0.0.2", 2}});
  CHECK(line.timeout == Seconds(7));
  CHECK(line.json);
  CHECK(line.words == std::vector<std::string>{"window", "put", "night"});
  CHECK(line.fields ==
        boost::json::parse(R"({"site":"shop","revision":4,"weekly":
            {"days":["mon","tue"],"from":"22:00","to":"06:00"}})")
            .as_object());
}

TEST_CASE("invalid command lines exit with the usage code and an error") {
  const std::vector<std::string> lines[] = {
      {},
      {"nothing"},
      {"service"},
      {"service", "dance"},
      {"service", "put"},
      {"service", "put", "a", "b"},
      {"--no-such-option"},
      {"--node", "here", "status"},
      {"--timeout-s", "soon", "status"},
      {"--change-id", "12", "status"},
      {"status"},
      {"status", "--node"},
      {"--node", "127.0.0.1:1", "rollback", "zero"},
      {"--node", "127.0.0.1:1", "drain", "there"},
      {"--node", "127.0.0.1:1", "apply", "/no/such/file"},
      {"--node", "127.0.0.1:1", "service", "put", "{}", "--team", "a"},
      {"hash-token"},
  };
  for (const auto& line : lines) {
    const Run run = Ctl(line);
    CAPTURE(run.err);
    CHECK(run.code == ToInt(ExitCode::kUsage));
    CHECK(run.err.starts_with("cassiabend-ctl: "));
    CHECK(run.out.empty());
  }
}

TEST_CASE(
    "items that break a rule of their form are refused before they are sent") {
  const std::vector<std::string> lines[] = {
      {"service", "put", R"({"name":"a","colour":"red"})"},
      {"service", "put", "{"},
      {"service", "put", "a", "--host", "h"},
      {"window", "put", "a", "--from", "late"},
  };
  for (auto line : lines) {
    line.insert(line.begin(), {"--node", "127.0.0.1:1"});
    const Run run = Ctl(line);
    CAPTURE(run.err);
    CHECK(run.code == ToInt(ExitCode::kInvalid));
  }
}

TEST_CASE("help names every command and exit code; tokens are hashed") {
  const Run help = Ctl({"--help"});
  CHECK(help.code == 0);
  for (const char* it : {"route put", "hash-token", "--change-id", "10  "}) {
    CHECK(help.out.find(it) != std::string::npos);
  }
  CHECK(Ctl({"--version"}).code == 0);
  const Run hash = Ctl({"hash-token"}, "abc\n");
  CHECK(hash.out == HashToken("abc") + "\n");
}

TEST_CASE("each outcome of a change has its exit code") {
  const std::pair<CommitCode, ExitCode> rows[] = {
      {CommitCode::kOk, ExitCode::kOk},
      {CommitCode::kConflict, ExitCode::kConflict},
      {CommitCode::kInvalid, ExitCode::kInvalid},
      {CommitCode::kStoreUnavailable, ExitCode::kUnavailable},
      {CommitCode::kOutcomeUnknown, ExitCode::kOutcomeUnknown},
      {CommitCode::kNotAuthorised, ExitCode::kNotAuthorised},
      {CommitCode::kStoreBehind, ExitCode::kStoreBehind},
      {CommitCode::kNotFound, ExitCode::kNotFound},
      {CommitCode::kBusy, ExitCode::kUnavailable},
  };
  ScriptedAdminNode node;
  node.newest = SampleVersion();
  node.Start();
  for (const auto& row : rows) {
    const ExitCode expected = row.second;
    CAPTURE(static_cast<int>(row.first));
    node.Run([&] { node.commit_results = {MakeResult(row.first)}; });
    for (const std::vector<std::string>& command :
         {std::vector<std::string>{"service", "put", "new"},
          {"rollback", "3"},
          {"recover"}}) {
      const Run run = CtlOn(node, command);
      CHECK(run.code == ToInt(expected));
      CHECK(run.err.empty() == (expected == ExitCode::kOk));
    }
  }
}

TEST_CASE("a change with an unknown outcome is sent again with the same id") {
  ScriptedAdminNode node;
  node.newest = SampleVersion();
  // "unavailable" is the outcome of the second request only; that of the first
  // remains unknown.
  node.commit_results = {MakeResult(CommitCode::kOutcomeUnknown),
                         MakeResult(CommitCode::kStoreUnavailable),
                         MakeResult(CommitCode::kOk)};
  node.Start();
  const Run run = Ctl({"--node", node.address(), "--json", "service", "put",
                       "new", "--team", "cascadia"});
  CHECK(run.code == 0);
  const boost::json::value out = boost::json::parse(run.out);
  CHECK(out.at("version").to_number<int>() == 6);
  node.Run([&] {
    REQUIRE(node.events.size() == 3);
    const Change& first = std::get<CommitRequested>(node.events[0]).change;
    CHECK(ToHex(first.id) == out.at("change_id").as_string().c_str());
    for (const ConfigEvent& it : node.events) {
      CHECK(std::get<CommitRequested>(it).change == first);
    }
  });
}

TEST_CASE(
    "a lost connection leaves the outcome unknown until another node answers") {
  const ClosingNode closing;
  const Run alone =
      Ctl({"--node", closing.address(), "--timeout-s", "1", "rollback", "3"});
  CHECK(alone.code == ToInt(ExitCode::kOutcomeUnknown));
  CHECK(alone.err.find("--change-id ") != std::string::npos);

  ScriptedAdminNode node;
  node.commit_results = {MakeResult(CommitCode::kOk)};
  node.Start();
  const Run both = Ctl(
      {"--node", closing.address() + "," + node.address(), "rollback", "3"});
  CHECK(both.code == 0);

  const Run unreachable =
      Ctl({"--node", UnusedAddress(), "--timeout-s", "1", "rollback", "3"});
  CHECK(unreachable.code == ToInt(ExitCode::kUnavailable));
  const Run next =
      Ctl({"--node", UnusedAddress() + "," + node.address(), "rollback", "3"});
  CHECK(next.code == 0);
}

TEST_CASE(
    "after an unknown outcome a refusal counts only after the settle time") {
  const CommitCode refusals[] = {CommitCode::kConflict, CommitCode::kInvalid,
                                 CommitCode::kNotFound,
                                 CommitCode::kStoreUnavailable};
  ScriptedAdminNode node;
  node.Start();
  for (const CommitCode code : refusals) {
    for (const bool settles : {false, true}) {
      CAPTURE(static_cast<int>(code));
      CAPTURE(settles);
      node.Run([&] {
        node.commit_results = {MakeResult(CommitCode::kOutcomeUnknown),
                               MakeResult(code)};
      });
      NodeCaller caller({.nodes = {{kTestIp, node.port()}},
                         .token = kAllTeamsToken,
                         .timeout = Milliseconds(400),
                         .settle_time = Milliseconds(settles ? 50 : 10'000),
                         .retry_pause = Milliseconds(60)});
      const CommitResult result = caller.Change([](AdminClient& client) {
        return client.Recover({1, 2});
      });
      const bool is_settled = settles && code != CommitCode::kStoreUnavailable;
      CHECK(result.code == (is_settled ? code : CommitCode::kOutcomeUnknown));
    }
  }
}

TEST_CASE("a change with a given id is sent unchanged") {
  ScriptedAdminNode node;
  node.newest = SampleVersion();
  node.commit_results = {MakeResult(CommitCode::kOk)};
  node.Start();
  const std::string id = ToHex({3, 4});
  const Run run = CtlOn(node, {"--change-id", id, "service", "put", "catalog",
                               "--team", "cascadia"});
  CHECK(run.code == 0);
  node.Run([&] {
    REQUIRE(node.events.size() == 1);
    CHECK(std::get<CommitRequested>(node.events[0]).change.id ==
          ChangeId{3, 4});
    node.commit_results = {MakeResult(CommitCode::kConflict)};
  });
  // The earlier run's request may still be in progress.
  const Run refused =
      CtlOn(node, {"--change-id", id, "service", "remove", "catalog"});
  CHECK(refused.code == ToInt(ExitCode::kOutcomeUnknown));
}

TEST_CASE("apply sends only differences, with the revisions in force") {
  ScriptedAdminNode node;
  node.newest = SampleVersion();
  node.commit_results = {MakeResult(CommitCode::kOk)};
  node.Start();
  const std::string file = R"({
    // The catalog is as it was; the tracker changes hands.
    "services": [{"name": "catalog", "team": "cascadia"},
                 {"name": "tracker", "team": "norda"},
                 {"name": "new", "team": "norda"}],
    "remove": {"services": ["shared"]},
  })";
  const Run run =
      Ctl({"--node", node.address(), "--dry-run", "apply", "-"}, file);
  CAPTURE(run.err);
  CHECK(run.code == 0);
  CHECK(run.out.find("catalog") == std::string::npos);
  CHECK(run.out.find("- services[shared]") != std::string::npos);
  CHECK(run.out.find("+ services[new]") != std::string::npos);
  node.Run([&] {
    REQUIRE(node.events.size() == 1);
    const auto& event = std::get<CommitRequested>(node.events[0]);
    CHECK(event.dry_run);
    std::vector<std::pair<std::string, VersionNumber>> sent;
    for (const Edit& it : event.change.edits) {
      sent.emplace_back(TargetOf(it).name, it.expected_revision.value());
    }
    std::ranges::sort(sent);
    CHECK(sent == std::vector<std::pair<std::string, VersionNumber>>{
                      {"new", 0}, {"shared", 2}, {"tracker", 5}});
  });
  const Run same = Ctl({"--node", node.address(), "service", "put", "catalog",
                        "--team", "cascadia"});
  CHECK(same.code == 0);
  CHECK(same.out == "nothing to change\n");
  const Run json = CtlOn(
      node, {"--json", "service", "put", "catalog", "--team", "cascadia"});
  CHECK(boost::json::parse(json.out).at("version") == 5);
  const Run waiting = CtlOn(
      node, {"--wait", "service", "put", "catalog", "--team", "cascadia"});
  CHECK(waiting.code == ToInt(ExitCode::kWaitTimedOut));
  node.Run([&] {
    CHECK(node.events.size() == 4);
    for (const ConfigEvent& it : node.events) {
      CHECK(std::get<CommitRequested>(it).dry_run);
    }
    node.commit_results = {MakeResult(CommitCode::kConflict)};
  });
  // The store's head is newer than the version of the node.
  const Run stale =
      CtlOn(node, {"service", "put", "catalog", "--team", "cascadia"});
  CHECK(stale.code == ToInt(ExitCode::kConflict));
}

TEST_CASE("lists, versions and history are shown as tables and as JSON") {
  ScriptedAdminNode node;
  node.newest = SampleVersion();
  node.history = {{{5, {1, 1}}, {2, 3}, "ann", WallTime(Seconds(9)), {}}};
  node.status = {{5, {1, 1}}, {MakeMemberView(1, 5, MemberStatus::kAlive)}};
  node.Start();
  const Run list = CtlOn(node, {"service", "list"});
  CHECK(list.out ==
        "NAME     TEAM      REVISION\n"
        "catalog  cascadia  3\n"
        "shared   -         2\n"
        "tracker  silfur    5\n");
  const std::vector<std::string> commands[] = {
      {"service", "list"}, {"route", "list"}, {"config"},
      {"config", "5"},     {"history"},       {"status"}};
  for (auto command : commands) {
    CAPTURE(command[0]);
    CHECK(CtlOn(node, command).code == 0);
    command.emplace_back("--json");
    const Run run = CtlOn(node, command);
    CHECK(run.code == 0);
    CHECK_NOTHROW((void)boost::json::parse(run.out));
  }
  CHECK(CtlOn(node, {"config", "4"}).code == ToInt(ExitCode::kNotFound));
  CHECK(Ctl({"--node", node.address(), "status"}, "", "wrong").code ==
        ToInt(ExitCode::kNotAuthorised));
  CHECK(CtlOn(node, {"drain", "127.0.0.9:7"}).code == 0);
  node.Run([&] { CHECK(node.drained.size() == 1); });
}

struct WaitRow {
  const char* name;
  std::vector<MemberView> members;
  ExitCode code;
  const char* error;
};

TEST_CASE("wait names the nodes that hold an older version") {
  const WaitRow rows[] = {
      {"everywhere",
       {MakeMemberView(1, 6, MemberStatus::kAlive),
        MakeMemberView(2, 7, MemberStatus::kSuspect),
        MakeMemberView(3, 1, MemberStatus::kLeft)},
       ExitCode::kOk,
       ""},
      {"one behind",
       {MakeMemberView(1, 6, MemberStatus::kAlive),
        MakeMemberView(2, 5, MemberStatus::kAlive)},
       ExitCode::kWaitTimedOut,
       "behind: 127.0.0.1:2 (puget-a, version 5)"},
      {"one unreachable",
       {MakeMemberView(1, 6, MemberStatus::kAlive),
        MakeMemberView(2, 5, MemberStatus::kDead)},
       ExitCode::kUnreachableNodes,
       "unreachable: 127.0.0.1:2"},
      {"nobody", {}, ExitCode::kWaitTimedOut, ""},
  };
  ScriptedAdminNode node;
  node.newest = SampleVersion();
  node.commit_results = {MakeResult(CommitCode::kOk, 6)};
  node.Start();
  for (const WaitRow& row : rows) {
    CAPTURE(row.name);
    node.Run([&] { node.status = {{6, {1, 1}}, row.members}; });
    for (const std::vector<std::string>& command :
         {std::vector<std::string>{"wait"},
          {"wait", "6"},
          {"--wait", "rollback", "3"}}) {
      const Run run = CtlOn(node, command);
      CHECK(run.code == ToInt(row.code));
      CHECK(run.err.find(row.error) != std::string::npos);
    }
  }
}

TEST_CASE("a suspect counts as reachable only while it is heard from") {
  FleetStatus status;
  MemberView view;
  view.member.id = {"10.0.0.1", 1};
  view.member.status = MemberStatus::kSuspect;
  status.members = {view, view, view};
  status.members[0].mark_age = Milliseconds(1'000);
  status.members[1].mark_age = Milliseconds(10'000);
  const Convergence convergence = ConvergenceOf(status, 1);
  CHECK(convergence.behind.size() == 1);
  CHECK(convergence.unreachable.size() == 2);
}

}  // namespace
}  // namespace cassiabend
