#include "cassiabend/core/links/body_queue.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

/// What a link of 10 Mbit/s carries of large messages.
constexpr std::uint64_t kRate = 1'062'500;
constexpr std::uint64_t kBody = 60'000;
constexpr Milliseconds kLimit{600};

AttemptRequest MakeUpload(std::uint64_t n, std::uint32_t priority = 0) {
  AttemptRequest request;
  request.id = {0, n};
  request.body_bytes = kBody;
  request.priority = priority;
  request.route = "orders";
  request.service = "svc";
  request.team = kCallerTeam;
  request.request_class = "orders";
  request.destination_start_id = 100;
  request.once = true;
  request.deadline = Milliseconds(4'000);
  request.objective = Milliseconds(800);
  return request;
}

struct Replay {
  int in_time = 0;
  int refused = 0;
  /// Longest time that a small message waits behind bodies.
  Milliseconds longest_wait{0};
};

/// \brief Uploads arrive at 1.35 times what the link carries, for 10 s.
Replay ReplayUploads(bool offers) {
  constexpr Milliseconds kPause{42};
  constexpr Milliseconds kStep{1};
  BodyQueue queue;
  queue.set_rate(kRate);
  Replay out;
  MonoTime free_at(Seconds(100));
  const auto send = [&](MonoTime now, MonoTime due) {
    free_at = std::max(free_at, now) + queue.TransferTime(kBody);
    out.longest_wait = std::max(
        out.longest_wait, std::chrono::floor<Milliseconds>(free_at - now));
    out.in_time += free_at <= due ? 1 : 0;
    return free_at;
  };
  std::vector<std::pair<MonoTime, AttemptId>> coming;
  std::uint64_t n = 0;
  MonoTime now(Seconds(100));
  for (Milliseconds at{0}; at < Seconds(10); at += kStep, now += kStep) {
    std::erase_if(coming, [&](const auto& it) {
      const bool has_arrived = it.first <= now;
      if (has_arrived) {
        queue.OnArrived(it.second);
      }
      return has_arrived;
    });
    const bool arrives = at % kPause == Milliseconds(0);
    if (arrives && !offers) {
      send(now, now + kLimit);
      continue;
    }
    if (arrives) {
      const AttemptRequest request = MakeUpload(++n);
      const MonoTime begin_by = now + kLimit - queue.TransferTime(kBody);
      if (now + queue.ArrivalTime(request, begin_by) > now + kLimit) {
        ++out.refused;
      } else {
        queue.Add({n, request, begin_by, now + Seconds(10)});
      }
    }
    for (const BodyOffer& it : queue.TakeAdmitted(now)) {
      coming.emplace_back(send(now, it.begin_by + queue.TransferTime(kBody)),
                          it.request.id);
    }
    out.refused += static_cast<int>(queue.TakeLate(now).size());
  }
  return out;
}

TEST_CASE("uploads beyond the link's width are refused before they are sent") {
  const Replay former = ReplayUploads(false);
  const Replay offered = ReplayUploads(true);
  MESSAGE("of 239 uploads in time: " << former.in_time << " sent at once, "
                                     << offered.in_time << " offered");
  CHECK(former.in_time < 60);
  CHECK(former.longest_wait > Milliseconds(2'000));
  // The link carries 177 of them in 10 s.
  CHECK(offered.in_time > 160);
  CHECK(offered.longest_wait <= Milliseconds(120));
  CHECK(offered.refused > 40);
}

TEST_CASE("the more urgent body goes first, and none waits in vain") {
  BodyQueue queue;
  queue.set_rate(kRate);
  const MonoTime now(Seconds(100));
  const auto offer = [now](std::uint64_t n, std::uint32_t priority) {
    return BodyOffer{n, MakeUpload(n, priority), now + Milliseconds(100),
                     now + Milliseconds(700)};
  };
  queue.Add(offer(1, 1));
  REQUIRE(queue.TakeAdmitted(now).size() == 1);
  queue.Add(offer(2, 1));
  queue.Add(offer(3, 0));
  CHECK(queue.TakeAdmitted(now).empty());
  queue.OnArrived(MakeUpload(1).id);
  const auto next = queue.TakeAdmitted(now);
  REQUIRE(next.size() == 1);
  CHECK(next.front().connection == 3);
  CHECK(queue.TakeLate(now).empty());
  // 57 ms behind the body that comes.
  const auto late = queue.TakeLate(now + Milliseconds(60));
  REQUIRE(late.size() == 1);
  CHECK(late.front().connection == 2);
  queue.Add(offer(4, 0));
  queue.Remove(4);
  CHECK(queue.size() == 1);
  // A body that never comes is not waited for.
  queue.Add(offer(5, 0));
  CHECK(queue.TakeAdmitted(now + Seconds(3)).size() == 1);
}

CallOptions OfferOptions() {
  CallOptions options;
  options.offer_bodies = 1;
  return options;
}

/// \returns A host whose own upstream is of another service.
Member MakeEntryMember() {
  Member member = MakeMember(1);
  member.service = "other";
  return member;
}

TEST_CASE("an entry node offers a large body and sends it when asked to") {
  CallNode node(MakeEntryMember(), OfferOptions());
  node.MakeReady({MakeMember(2)});
  node.Do(LinkLoadChanged{0, kRate, kRate});
  CallMetadata metadata = MakeMetadata("orders");
  metadata.body_bytes = kBody;
  metadata.deadline = Milliseconds(2'000);
  node.Do(CallArrived{1, metadata});
  const auto offer = node.Only<SendAttempt>();
  REQUIRE(offer.has_value());
  CHECK(offer->verb == AttemptVerb::kOffer);
  CHECK(offer->request.body_bytes == kBody);
  SUBCASE("asked") {
    node.Advance(Milliseconds(300));
    node.Do(BodyWanted{1, offer->request.id});
    const auto run = node.Only<SendAttempt>();
    REQUIRE(run.has_value());
    CHECK(run->verb == AttemptVerb::kRun);
    CHECK(run->request.id == offer->request.id);
    CHECK(run->request.deadline == offer->request.deadline - Milliseconds(300));
  }
  SUBCASE("lost") {
    // Nothing was sent that could run.
    node.Do(
        AttemptConnectionLost{1, offer->request.id, ConnectionLoss::kTimedOut});
    CHECK(node.Only<AnswerNotRun>().has_value());
  }
  SUBCASE("not asked in time") {
    node.Tick(Milliseconds(2'100));
    CHECK(node.Only<AnswerNotRun>().has_value());
    CHECK_FALSE(node.Only<AnswerUnknown>().has_value());
  }
}

TEST_CASE("small bodies, and those for this host, are sent at once") {
  CallNode node(MakeEntryMember(), OfferOptions());
  node.MakeReady({MakeMember(2)});
  CallMetadata metadata = MakeMetadata("orders");
  metadata.body_bytes = 16'000;
  node.Do(CallArrived{1, metadata});
  CHECK(node.Only<SendAttempt>()->verb == AttemptVerb::kRun);
}

TEST_CASE("a body that this host's own link cannot send in time is refused") {
  CallNode node(MakeEntryMember(), OfferOptions());
  node.MakeReady({MakeMember(2)});
  node.Do(LinkLoadChanged{3'000'000, kRate, kRate});
  CallMetadata metadata = MakeMetadata("orders");
  metadata.body_bytes = kBody;
  metadata.deadline = Milliseconds(2'000);
  node.Do(CallArrived{1, metadata});
  CHECK_FALSE(node.Only<SendAttempt>().has_value());
  REQUIRE(node.Only<AnswerNotRun>().has_value());
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kOverloaded);
  CHECK(node.Only<AnswerNotRun>()->retry_after > Milliseconds(1'000));
}

TEST_CASE("a destination lets bodies in as its link has room") {
  CallOptions options = OfferOptions();
  options.slots = 8;
  CallNode node(MakeMember(1), options);
  node.MakeReady({MakeMember(1), MakeMember(2)});
  node.Do(UpstreamProbed{true, 0});
  node.Do(UpstreamProbed{true, 0});
  node.Do(LinkLoadChanged{0, kRate, kRate});
  node.Do(BodyOffered{1, MakeUpload(1)});
  REQUIRE(node.Only<ReplyBodyWanted>().has_value());
  node.Do(BodyOffered{2, MakeUpload(2)});
  CHECK_FALSE(node.Only<ReplyBodyWanted>().has_value());
  int refused = 0;
  for (std::uint64_t n = 3; n < 30; ++n) {
    node.Do(BodyOffered{n, MakeUpload(n)});
    refused += node.Only<ReplyNotRun>().has_value() ? 1 : 0;
  }
  // 800 ms carry 14 of them.
  CHECK(refused == 15);
  node.Do(AttemptArrived{31, MakeUpload(1)});
  CHECK(node.Only<StartUpstream>().has_value());
  CHECK(node.Only<ReplyBodyWanted>()->connection == 2);
  // The deadline is the latest in which it is of use: all others are refused.
  node.Tick(Milliseconds(790));
  CHECK(node.counts().attempts_running == 1);
}

}  // namespace
}  // namespace cassiabend::testing
