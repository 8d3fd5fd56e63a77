// The share of a narrow link that large answers get.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

#include "cassiabend/base/random.h"
#include "cassiabend/core/link_queue.h"
#include "cassiabend/http/bulk_pacer.h"

namespace cassiabend {
namespace {

constexpr std::uint32_t kNarrow = 10'000;
/// Bytes a second of `kNarrow`.
constexpr std::size_t kWidth = 1'250'000;
constexpr Milliseconds kStep{20};
/// Steps of a minute.
constexpr int kMinute = 3'000;
/// A leaving node takes requests for 2.3 s and ends 3 s later
/// (`calls.shutdown_serve_ms` as deployed, a grace time of 6 s).
constexpr Milliseconds kLeavingTime{3'000};
/// Pause after which the receiver takes an answer for lost, as deployed.
constexpr Milliseconds kProgressTimeout{1'500};

/// \brief A large answer that sends whatever it may.
struct Answer final : BulkPacer::Waiter {
  Answer(BulkPacer* owner, std::size_t bytes) : pacer(owner), left(bytes) {}
  void Send() {
    while (left > 0) {
      const std::size_t n = pacer->Take(this, left);
      if (n == 0) {
        return;
      }
      left -= n;
      sent += n;
    }
  }
  void OnTurn() override { Send(); }
  /// \brief Notes how long nothing of it was sent.
  void Observe(MonoTime now) {
    if (sent != seen || left == 0 || seen_at == MonoTime{}) {
      seen = sent;
      seen_at = now;
    }
    longest_pause = std::max<Nanoseconds>(longest_pause, now - seen_at);
  }

  BulkPacer* pacer;
  std::size_t left;
  std::size_t sent = 0;
  std::size_t settled = 0;
  std::size_t seen = 0;
  MonoTime seen_at{};
  Nanoseconds longest_pause{0};
};

TEST_CASE("a link of unknown width holds nothing back") {
  ManualClock clock;
  BulkPacer pacer(clock, 0);
  Answer answer(&pacer, 100'000'000);
  answer.Send();
  CHECK(answer.left == 0);
}

TEST_CASE("downloads leave a narrow link room for small answers") {
  // Nine downloads at once on 10 Mbit/s, as beside an upstream of nine slots.
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kNarrow);
  std::vector<std::unique_ptr<Answer>> answers;
  for (int i = 0; i < 9; ++i) {
    answers.push_back(std::make_unique<Answer>(&pacer, 1'000'000));
    answers.back()->Send();
  }
  const auto sent = [&] {
    std::size_t n = 0;
    for (const auto& it : answers) {
      n += it->sent;
    }
    return n;
  };
  // What is in the link at any time is its queue: a small answer waits for it.
  constexpr std::size_t kMostQueued = kWidth / 20;
  CHECK(sent() <= kMostQueued);
  std::size_t before = sent();
  for (int step = 0; step < 250; ++step) {
    clock.Advance(kStep);
    pacer.Tick();
    CHECK(sent() - before <= kMostQueued);
    before = sent();
    for (auto& it : answers) {
      it->Observe(clock.Now().mono);
    }
  }
  // Five seconds: most of the link is used, and not all of it.
  CHECK(sent() >= kWidth * 5 * 8 / 10);
  CHECK(sent() <= kWidth * 5 * 9 / 10 + kMostQueued);
  // Those that came first are whole, and none of the others fell silent.
  for (int i = 0; i < 4; ++i) {
    CHECK(answers[i]->left == 0);
  }
  for (const auto& it : answers) {
    CHECK(it->longest_pause <= kProgressTimeout / 2);
  }
}

TEST_CASE("what is sent without waiting is taken from the large answers") {
  // Twelve downloads a second begin with 16 KB each that do not wait.
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kNarrow);
  Answer answer(&pacer, 100'000'000);
  answer.Send();
  std::size_t at_once = 0;
  for (int step = 0; step < 250; ++step) {
    if (step % 4 == 0) {
      pacer.Charge(16'000);
      at_once += 16'000;
    }
    clock.Advance(kStep);
    pacer.Tick();
  }
  CHECK(answer.sent + at_once <= kWidth * 5 * 9 / 10 + kWidth / 20);
  CHECK(answer.sent + at_once >= kWidth * 5 * 8 / 10);
}

TEST_CASE("late steps cost no throughput") {
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kNarrow);
  Answer answer(&pacer, 100'000'000);
  answer.Send();
  for (int step = 0; step < 100; ++step) {
    clock.Advance(kStep * 2);
    pacer.Tick();
  }
  CHECK(answer.sent >= kWidth * 4 * 8 / 10);
}

TEST_CASE("an answer that ends while it waits lets the others go on") {
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kNarrow);
  Answer first(&pacer, 1'000'000);
  first.Send();
  {
    Answer second(&pacer, 1'000'000);
    second.Send();
    CHECK(second.is_linked());
  }
  Answer third(&pacer, 10'000);
  third.set_due(clock.Now().mono);
  third.Send();
  for (int step = 0; step < 10; ++step) {
    clock.Advance(kStep);
    pacer.Tick();
  }
  CHECK(third.left == 0);
  CHECK(first.sent > 100'000);
}

/// \brief A host of 13.3 Mbit/s beside an upstream of downloads that are asked
/// for faster than its link can carry them.
struct LoadedLink {
  static constexpr std::uint32_t kKilobits = 13'300;
  static constexpr Milliseconds kObjective{1'200};
  static constexpr Milliseconds kService{180};
  /// Sizes of downloads, 280 KB on the mean and up to 1.7 MB.
  static constexpr std::array<std::size_t, 16> kSizes = {
      60'000,  90'000,  110'000, 130'000, 150'000, 170'000, 190'000, 215'000,
      235'000, 260'000, 290'000, 320'000, 370'000, 430'000, 560'000, 900'000};
  static constexpr std::size_t kLargest = 1'700'000;

  struct Download {
    Download(BulkPacer* pacer, std::size_t bytes, MonoTime at)
        : answer(pacer, bytes), asked_at(at) {}
    Answer answer;
    MonoTime asked_at;
  };

  /// \brief A step of `kStep`: takes downloads that the link is expected to
  /// carry within their objective, and sends.
  void Step() {
    clock.Advance(step_time);
    pacer.Charge(small_bytes);
    const MonoTime now = clock.Now().mono;
    if (random.Below(steps_per_download) == 0) {
      queue.OnLoadChanged({pacer.expected(), pacer.rate()});
      const std::uint64_t own = queue.LargeBytesOf(kClass);
      if (kService + queue.SendTime(pacer.expected() + own) <= kObjective) {
        const bool is_largest = random.Below(64) == 0;
        const std::size_t bytes =
            is_largest ? kLargest : kSizes.at(random.Below(kSizes.size()));
        queue.RecordAnswerSize(kClass, bytes);
        pacer.Expect(bytes);
        open.push_back(std::make_unique<Download>(&pacer, bytes, now));
        open.back()->answer.set_due(now + kObjective - kService);
        open.back()->answer.Send();
      }
    }
    pacer.Tick();
    std::erase_if(open, [&](const auto& it) {
      pacer.Settle(it->answer.sent - it->answer.settled);
      it->answer.settled = it->answer.sent;
      if (it->answer.left == 0) {
        slowest = std::max<Nanoseconds>(slowest, now - it->asked_at);
        ++done;
      }
      return it->answer.left == 0;
    });
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      Step();
    }
  }

  const std::string kClass = "download";
  /// Bytes of small answers in a step.
  std::size_t small_bytes = 0;
  Milliseconds step_time{kStep};
  /// Steps between two downloads, on the mean.
  std::uint64_t steps_per_download = 8;
  ManualClock clock{{MonoTime(Seconds(1)), {}}};
  BulkPacer pacer{clock, kKilobits};
  LinkQueue queue;
  Random random{20};
  std::vector<std::unique_ptr<Download>> open;
  std::size_t done = 0;
  Nanoseconds slowest{0};
};

TEST_CASE("small answers that fill the link do not silence the large ones") {
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kNarrow);
  std::vector<std::unique_ptr<Answer>> answers;
  for (int i = 0; i < 9; ++i) {
    answers.push_back(std::make_unique<Answer>(&pacer, 1'000'000));
    answers.back()->Send();
  }
  for (int step = 0; step < 250; ++step) {
    pacer.Charge(kWidth / 50);
    clock.Advance(kStep);
    pacer.Tick();
    for (auto& it : answers) {
      it->Observe(clock.Now().mono);
    }
  }
  for (const auto& it : answers) {
    CHECK(it->longest_pause <= kProgressTimeout / 2);
    CHECK(it->sent < 100'000);
  }
}

TEST_CASE("the answer that is due first goes first") {
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kNarrow);
  Answer any_time(&pacer, 1'000'000);
  Answer later(&pacer, 500'000);
  Answer sooner(&pacer, 500'000);
  later.set_due(clock.Now().mono + Seconds(4));
  sooner.set_due(clock.Now().mono + Seconds(1));
  for (Answer* it : {&any_time, &later, &sooner}) {
    it->Send();
  }
  for (int step = 0; step < 25; ++step) {
    clock.Advance(kStep);
    pacer.Tick();
  }
  CHECK(sooner.left == 0);
  CHECK(later.left > 400'000);
  for (int step = 0; step < 25; ++step) {
    clock.Advance(kStep);
    pacer.Tick();
  }
  CHECK(later.left == 0);
  CHECK(any_time.left > 850'000);
}

TEST_CASE("a download that a leaving node took is whole when the node ends") {
  LoadedLink link;
  link.Run(kMinute);
  CHECK(link.done > 200);
  CHECK(link.slowest + LoadedLink::kService < kLeavingTime);
}

TEST_CASE("a download is not admitted to a link that small answers fill") {
  // Small answers take 0.7 MB/s of the link's 1.66 MB/s.
  LoadedLink link;
  link.small_bytes = 14'000;
  link.Run(kMinute);
  CHECK(link.done > 100);
  CHECK(link.slowest + LoadedLink::kService < kLeavingTime);
}

TEST_CASE("a late download is not overtaken until its caller has left") {
  // Its caller waits for 10 s more, and up to ten times as many as the link
  // carries are asked for.
  for (const std::uint64_t steps : {8, 4, 2, 1}) {
    CAPTURE(steps);
    LoadedLink link;
    link.steps_per_download = steps;
    link.Run(500);
    const MonoTime begin = link.clock.Now().mono;
    constexpr Milliseconds kLeft{10'000};
    Answer late(&link.pacer, 280'000);
    late.set_due(begin + LinkTimeLimit(kMissedObjective, kLeft));
    late.Send();
    while (late.left > 0 && link.clock.Now().mono - begin < kLeft) {
      link.Step();
    }
    CHECK(late.left == 0);
    CHECK(link.clock.Now().mono - begin < kLeavingTime);
  }
}

TEST_CASE("small answers that filled the link hold nothing up once they end") {
  // They take the whole width for half a minute.
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kNarrow);
  constexpr int kStepsPerSecond = 50;
  for (int step = 0; step < 30 * kStepsPerSecond; ++step) {
    pacer.Charge(kWidth / kStepsPerSecond);
    clock.Advance(kStep);
    pacer.Tick();
  }
  const MonoTime begin = clock.Now().mono;
  Answer answer(&pacer, 90'000);
  answer.Send();
  while (answer.left > 0) {
    clock.Advance(kStep);
    pacer.Tick();
  }
  CHECK(clock.Now().mono - begin < LoadedLink::kObjective);
}

TEST_CASE("a host that stands still between steps holds what it admitted") {
  for (const int ms : {20, 40, 60, 80, 100}) {
    CAPTURE(ms);
    LoadedLink link;
    link.step_time = Milliseconds(ms);
    link.Run(kMinute);
    CHECK(link.done > 200);
    CHECK(link.slowest + LoadedLink::kService < kLeavingTime);
  }
}

}  // namespace
}  // namespace cassiabend
