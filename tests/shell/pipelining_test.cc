// Callers that send more requests before the first one is answered.

#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cassiabend/base/random.h"
#include "tests/support/scripted_session.h"

namespace cassiabend {
namespace {

constexpr std::uint32_t kWindow = 4;

SessionOptions WindowOptions() {
  SessionOptions options;
  options.limits.body_bytes = 1024;
  options.max_pipelined = kWindow;
  options.adds_outcome_header = false;
  return options;
}

std::string Get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

/// \brief The answers that a caller has read from its connection.
struct Received {
  std::vector<std::string> bodies;
  std::vector<int> statuses;
  /// Whether the last answer said "Connection: close".
  bool says_close = false;
  /// Whether an incomplete answer follows.
  bool is_cut = false;
};

Received ReadAnswers(std::string_view text) {
  Received out;
  while (!text.empty()) {
    const std::size_t head_end = text.find("\r\n\r\n");
    const std::size_t length_at = text.find("Content-Length: ");
    if (head_end == std::string_view::npos || length_at > head_end) {
      out.is_cut = true;
      return out;
    }
    const std::string_view head = text.substr(0, head_end);
    const std::size_t n =
        std::stoul(std::string(text.substr(length_at + 16, 8)));
    if (text.size() < head_end + 4 + n) {
      out.is_cut = true;
      return out;
    }
    out.statuses.push_back(std::stoi(std::string(head.substr(9, 3))));
    out.bodies.emplace_back(text.substr(head_end + 4, n));
    out.says_close = head.find("Connection: close") != std::string_view::npos;
    text.remove_prefix(head_end + 4 + n);
  }
  return out;
}

TEST_CASE("requests run concurrently and are answered in order") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(Get("/0") + Get("/1") + Get("/2"));
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 3; }));
  CHECK(it.requests[0].had_turn);
  CHECK_FALSE(it.requests[1].had_turn);
  it.Answer(2);
  it.Answer(1);
  it.RunReadyHandlers();
  CHECK(it.caller->received().empty());
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.requests[2].complete_answers == 1; }));
  it.RunReadyHandlers();
  const Received received = ReadAnswers(it.caller->received());
  CHECK(received.bodies == std::vector<std::string>{"</0>", "</1>", "</2>"});
  CHECK_FALSE(received.says_close);
}

TEST_CASE("the handler is told when an unanswered request has its turn") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(Get("/0") + Get("/1") + Get("/2"));
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 3; }));
  it.Answer(2);
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.requests[1].turn_events == 1; }));
  CHECK(it.requests[0].turn_events == 0);
  it.Answer(1);
  REQUIRE(it.WaitUntil([&] { return it.requests[2].complete_answers == 1; }));
  CHECK(it.requests[2].turn_events == 0);
}

TEST_CASE("no more requests are read than max_pipelined") {
  ScriptedSession it(WindowOptions());
  for (int i = 0; i < 10; ++i) {
    it.caller->Send(Get("/" + std::to_string(i)));
  }
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == kWindow; }));
  it.RunReadyHandlers();
  CHECK(it.requests.size() == kWindow);
  it.Answer(1);
  it.RunReadyHandlers();
  CHECK(it.requests.size() == kWindow);
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == kWindow + 2; }));
}

TEST_CASE("an early answer fills its window and applies back pressure") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(Get("/0") + Get("/1"));
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 2; }));
  const RefPtr<AnswerStream> answer(new AnswerStream({}, it.buffered_bytes));
  answer->Begin({.status = 200, .reason = "OK", .content_length = 80'000});
  it.requests[1].exchange->Relay(answer);
  std::size_t sent = 0;
  while (answer->HasRoom()) {
    answer->Append(std::string(1'000, 'x'));
    sent += 1'000;
  }
  it.RunReadyHandlers();
  CHECK(sent <= AnswerLimits{}.window_bytes + 1'000);
  CHECK(it.buffered_bytes->total == sent);
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return answer->HasRoom(); }));
  while (sent < 80'000) {
    answer->Append(std::string(1'000, 'x'));
    sent += 1'000;
  }
  answer->Finish(true);
  REQUIRE(it.WaitUntil([&] { return it.requests[1].complete_answers == 1; }));
}

TEST_CASE("the caller's close ends all its requests") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(Get("/0") + Get("/1") + Get("/2"));
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 3; }));
  const auto begun = it.BeginAnswer(0);
  it.Answer(2);
  it.RunReadyHandlers();
  it.caller->Close();
  REQUIRE(it.WaitUntil([&] { return it.has_ended; }));
  CHECK(it.requests[0].cut_answers == 1);
  CHECK(it.requests[1].caller_closes == 1);
  CHECK(it.requests[2].caller_closes == 1);
  CHECK(it.buffered_bytes->total == 0);
}

TEST_CASE("a cut answer ends the connection and the requests after it") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(Get("/0") + Get("/1"));
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 2; }));
  it.Answer(1);
  const auto answer = it.BeginAnswer(0);
  answer->Append("<");
  it.RunReadyHandlers();
  answer->Finish(false);
  REQUIRE(it.WaitUntil([&] { return it.caller->closed(); }));
  CHECK(it.requests[0].cut_answers == 1);
  CHECK(it.requests[1].caller_closes == 1);
  const Received received = ReadAnswers(it.caller->received());
  CHECK(received.bodies.empty());
  CHECK(received.is_cut);
}

TEST_CASE("an answer that breaks off before its turn does not end the others") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(Get("/0") + Get("/1") + Get("/2"));
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 3; }));
  const auto answer = it.BeginAnswer(1);
  answer->Append("<");
  answer->Finish(false);
  it.Answer(2);
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.requests[2].complete_answers == 1; }));
  it.RunReadyHandlers();
  CHECK(it.requests[1].failed_answers == 1);
  CHECK(ReadAnswers(it.caller->received()).statuses ==
        std::vector<int>{200, 502, 200});
}

TEST_CASE("a malformed message is refused after the earlier answers") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(Get("/0") + Get("/1") + "nonsense\r\n\r\n" + Get("/3"));
  REQUIRE(it.WaitUntil([&] { return it.refused_messages == 1; }));
  REQUIRE(it.requests.size() == 2);
  it.RunReadyHandlers();
  CHECK(it.caller->received().empty());
  it.Answer(1);
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.caller->closed(); }));
  const Received received = ReadAnswers(it.caller->received());
  CHECK(received.statuses == std::vector<int>{200, 200, 400});
  CHECK(received.says_close);
  CHECK(it.requests.size() == 2);
}

TEST_CASE("a body over the limit is refused after the earlier answers") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(
      Get("/0") +
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n");
  REQUIRE(it.WaitUntil([&] { return it.refused_messages == 1; }));
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.caller->closed(); }));
  CHECK(ReadAnswers(it.caller->received()).statuses ==
        std::vector<int>{200, 413});
}

TEST_CASE("requests over the limit of held bytes are refused in order") {
  SessionOptions options = WindowOptions();
  options.max_held_bytes = 600;
  ScriptedSession it(options);
  it.caller->Send(Get("/0") +
                  "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" +
                  std::string(900, 'a') + Get("/2"));
  REQUIRE(it.WaitUntil([&] { return it.refused_messages == 1; }));
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.caller->closed(); }));
  CHECK(ReadAnswers(it.caller->received()).statuses ==
        std::vector<int>{200, 503});
  CHECK(it.requests.size() == 1);
}

TEST_CASE("what follows a request with Connection: close is ignored") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(Get("/0") + Get("/1", "Connection: close\r\n") + Get("/2"));
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 2; }));
  it.Answer(1);
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.caller->closed(); }));
  const Received received = ReadAnswers(it.caller->received());
  CHECK(received.bodies == std::vector<std::string>{"</0>", "</1>"});
  CHECK(received.says_close);
  CHECK(it.requests.size() == 2);
}

TEST_CASE("a stop answers all requests read and closes with the last answer") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(Get("/0") + Get("/1"));
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 2; }));
  it.session->EndAfterRequest();
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.requests[0].complete_answers == 1; }));
  it.RunReadyHandlers();
  CHECK_FALSE(ReadAnswers(it.caller->received()).says_close);
  // A request sent meanwhile is read as long as no answer said "close".
  it.caller->Send(Get("/2"));
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 3; }));
  it.Answer(2);
  it.Answer(1);
  REQUIRE(it.WaitUntil([&] { return it.caller->closed(); }));
  const Received received = ReadAnswers(it.caller->received());
  CHECK(received.bodies == std::vector<std::string>{"</0>", "</1>", "</2>"});
  CHECK(received.says_close);
}

TEST_CASE("an incomplete request does not cut the answers to earlier ones") {
  SessionOptions options = WindowOptions();
  options.header_timeout = Milliseconds(60);
  ScriptedSession it(options);
  it.caller->Send(Get("/0") + "GET /1 HT");
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 1; }));
  boost::asio::steady_timer timer(it.io, std::chrono::milliseconds(200));
  bool is_over = false;
  timer.async_wait([&](const auto& /*ec*/) { is_over = true; });
  REQUIRE(it.WaitUntil([&] { return is_over; }));
  CHECK_FALSE(it.caller->closed());
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.caller->closed(); }));
  CHECK(ReadAnswers(it.caller->received()).bodies ==
        std::vector<std::string>{"</0>"});
}

TEST_CASE("100 Continue is sent after the earlier answer") {
  ScriptedSession it(WindowOptions());
  it.caller->Send(Get("/0") +
                  "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                  "Expect: 100-continue\r\n\r\n");
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 1; }));
  it.RunReadyHandlers();
  CHECK(it.caller->received().empty());
  it.Answer(0);
  REQUIRE(it.WaitUntil([&] { return it.caller->Has("100 Continue"); }));
  CHECK(it.caller->received().find("</0>") <
        it.caller->received().find("100 Continue"));
  it.caller->Send("ab");
  REQUIRE(it.WaitUntil([&] { return it.requests.size() == 2; }));
}

/// \brief What the steps of a random run did.
struct Model {
  std::size_t sent = 0;
  bool was_cut = false;
  bool caller_closed = false;
  /// Requests whose answers were begun.
  std::set<std::size_t> answered;
};

/// \brief Answers a random request, at once or piece by piece.
void AnswerAtRandom(ScriptedSession* it,
                    Random* random,
                    std::map<std::size_t, RefPtr<AnswerStream>>* begun,
                    Model* model) {
  const std::size_t n = random->Below(it->requests.size());
  const auto found = begun->find(n);
  const std::string body = ScriptedSession::BodyOf(it->requests[n].target);
  if (found == begun->end()) {
    if (it->requests[n].ends() != 0 || !model->answered.insert(n).second) {
      return;
    }
    if (random->Below(2) == 0) {
      it->Answer(n);
    } else {
      (*begun)[n] = it->BeginAnswer(n);
    }
    return;
  }
  const RefPtr<AnswerStream> answer = found->second;
  if (answer->ended()) {
    return;
  }
  if (random->Below(30) == 0) {
    model->was_cut = true;
    answer->Finish(false);
    return;
  }
  const std::size_t at = answer->end_position();
  answer->Append(std::string_view(body).substr(at, 1 + random->Below(2)));
  if (answer->end_position() == body.size()) {
    answer->Finish(true);
  }
}

/// \brief One run of requests, answers, cuts, closes and stops in random order.
void RunAtRandom(std::uint64_t seed) {
  constexpr int kSteps = 120;
  Random random(seed);
  ScriptedSession it(WindowOptions());
  Model model;
  std::map<std::size_t, RefPtr<AnswerStream>> begun;
  std::string unsent;
  for (int i = 0; i < kSteps && !model.caller_closed; ++i) {
    const std::uint64_t choice = random.Below(100);
    if (choice < 25) {
      const bool closes = random.Below(40) == 0;
      unsent += Get("/" + std::to_string(model.sent++),
                    closes ? "Connection: close\r\n" : "");
    } else if (choice < 45) {
      const std::size_t n = random.Below(unsent.size() + 1);
      it.caller->Send(unsent.substr(0, n));
      unsent.erase(0, n);
    } else if (choice < 90) {
      if (!it.requests.empty()) {
        AnswerAtRandom(&it, &random, &begun, &model);
      }
    } else if (choice == 90) {
      it.session->EndAfterRequest();
    } else if (choice == 91) {
      model.caller_closed = random.Below(4) == 0;
    } else {
      it.RunReadyHandlers();
    }
  }
  if (model.caller_closed) {
    it.RunReadyHandlers();
    it.caller->Close();
    REQUIRE(it.WaitUntil([&] { return it.has_ended; }));
  }
  // Every request that was read is answered, unless the connection was cut.
  for (std::size_t n = 0; n < it.requests.size(); ++n) {
    if (begun.contains(n) && !begun[n]->ended()) {
      const std::string body = ScriptedSession::BodyOf(it.requests[n].target);
      begun[n]->Append(body.substr(begun[n]->end_position()));
      begun[n]->Finish(true);
    } else if (!model.answered.contains(n) && it.requests[n].ends() == 0) {
      it.Answer(n);
    }
    it.RunReadyHandlers();
  }
  it.RunReadyHandlers();
  const Received received = ReadAnswers(it.caller->received());
  REQUIRE(received.bodies.size() <= it.requests.size());
  for (std::size_t n = 0; n < received.bodies.size(); ++n) {
    CHECK(received.bodies[n] == "</" + std::to_string(n) + ">");
  }
  std::size_t unanswered = 0;
  for (const ScriptedSession::Request& request : it.requests) {
    CHECK(request.ends() <= 1);
    unanswered += request.ends() == 0 ? 1 : 0;
    CHECK((request.complete_answers == 1 || model.was_cut ||
           model.caller_closed || request.ends() == 0));
  }
  CHECK(unanswered == 0);
  if (!model.was_cut && !model.caller_closed) {
    CHECK(received.bodies.size() == it.requests.size());
    CHECK_FALSE(received.is_cut);
    // Only an answer with "Connection: close" ended the connection.
    CHECK(it.has_ended == received.says_close);
  }
}

TEST_CASE("answers keep their order whatever the order of events") {
  constexpr std::uint64_t kRuns = 400;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    CAPTURE(seed);
    RunAtRandom(seed);
  }
}

}  // namespace
}  // namespace cassiabend
