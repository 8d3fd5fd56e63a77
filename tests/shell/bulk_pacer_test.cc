// Pacing of large answers on a narrow network link.

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

/// Capacity of the link in kilobits per second, and the same in bytes per
/// second.
constexpr std::uint32_t kLinkKilobits = 10'000;
constexpr std::size_t kLinkBytesPerSecond = 1'250'000;
constexpr Milliseconds kStep{20};
/// Steps in a minute.
constexpr int kStepsPerMinute = 3'000;
/// Time from the last request that a leaving node accepts until it ends: it
/// serves for 2.3 s (`calls.shutdown_serve_ms` as deployed) and ends 3 s later,
/// within a grace time of 6 s.
constexpr Milliseconds kLeavingTime{3'000};
/// `http.progress_timeout_ms` as deployed: the pause after which the receiver
/// takes an answer for lost.
constexpr Milliseconds kProgressTimeout{1'500};

/// \brief A large answer that sends as much as the pacer allows.
struct Answer final : BulkPacer::Waiter {
  Answer(BulkPacer* owner, std::size_t bytes) : pacer(owner), left(bytes) {}
  void Send() {
    while (left > 0) {
      const std::size_t n = pacer->Acquire(this, left);
      if (n == 0) {
        return;
      }
      left -= n;
      sent += n;
    }
  }
  void OnSendAllowed() override { Send(); }
  /// \brief Records the longest time in which nothing of it was sent.
  void RecordPause(MonoTime now) {
    if (sent != last_sent || left == 0 || last_sent_at == MonoTime{}) {
      last_sent = sent;
      last_sent_at = now;
    }
    longest_pause = std::max<Nanoseconds>(longest_pause, now - last_sent_at);
  }

  BulkPacer* pacer;
  std::size_t left;
  std::size_t sent = 0;
  std::size_t settled = 0;
  std::size_t last_sent = 0;
  MonoTime last_sent_at{};
  Nanoseconds longest_pause{0};
};

TEST_CASE("on a link of unknown capacity nothing is paced") {
  ManualClock clock;
  BulkPacer pacer(clock, 0);
  Answer answer(&pacer, 100'000'000);
  answer.Send();
  CHECK(answer.left == 0);
}

TEST_CASE("downloads leave capacity of a narrow link for small answers") {
  // Nine concurrent downloads on 10 Mbit/s, as from an upstream of nine slots.
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kLinkKilobits);
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
  // A small answer waits until the bytes already in the link are sent.
  constexpr std::size_t kMaxQueuedBytes = kLinkBytesPerSecond / 20;
  CHECK(sent() <= kMaxQueuedBytes);
  std::size_t before = sent();
  for (int step = 0; step < 250; ++step) {
    clock.Advance(kStep);
    pacer.Tick();
    CHECK(sent() - before <= kMaxQueuedBytes);
    before = sent();
    for (auto& it : answers) {
      it->RecordPause(clock.Now().mono);
    }
  }
  // In five seconds between 80 and 90 % of the link is used.
  CHECK(sent() >= kLinkBytesPerSecond * 5 * 8 / 10);
  CHECK(sent() <= kLinkBytesPerSecond * 5 * 9 / 10 + kMaxQueuedBytes);
  // The first answers are complete, and none of the others paused for long.
  for (int i = 0; i < 4; ++i) {
    CHECK(answers[i]->left == 0);
  }
  for (const auto& it : answers) {
    CHECK(it->longest_pause <= kProgressTimeout / 2);
  }
}

TEST_CASE("bytes sent without pacing reduce the rate of large answers") {
  // Twelve downloads per second begin with 16 KB each that are not paced.
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kLinkKilobits);
  Answer answer(&pacer, 100'000'000);
  answer.Send();
  std::size_t unpaced = 0;
  for (int step = 0; step < 250; ++step) {
    if (step % 4 == 0) {
      pacer.ChargeUnpaced(16'000);
      unpaced += 16'000;
    }
    clock.Advance(kStep);
    pacer.Tick();
  }
  CHECK(answer.sent + unpaced <=
        kLinkBytesPerSecond * 5 * 9 / 10 + kLinkBytesPerSecond / 20);
  CHECK(answer.sent + unpaced >= kLinkBytesPerSecond * 5 * 8 / 10);
}

TEST_CASE("late ticks cost no throughput") {
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kLinkKilobits);
  Answer answer(&pacer, 100'000'000);
  answer.Send();
  for (int step = 0; step < 100; ++step) {
    clock.Advance(kStep * 2);
    pacer.Tick();
  }
  CHECK(answer.sent >= kLinkBytesPerSecond * 4 * 8 / 10);
}

TEST_CASE("an answer destroyed while it waits does not block the others") {
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kLinkKilobits);
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

/// \brief A host with a link of 13.3 Mbit/s whose upstream gets more requests
/// for downloads than the link can carry.
struct LoadedLink {
  static constexpr std::uint32_t kKilobits = 13'300;
  static constexpr Milliseconds kObjective{1'200};
  static constexpr Milliseconds kService{180};
  /// Sizes of downloads in bytes: 280 KB on average, and one in 64 is
  /// `kLargest`.
  static constexpr std::array<std::size_t, 16> kSizes = {
      60'000,  90'000,  110'000, 130'000, 150'000, 170'000, 190'000, 215'000,
      235'000, 260'000, 290'000, 320'000, 370'000, 430'000, 560'000, 900'000};
  static constexpr std::size_t kLargest = 1'700'000;

  struct Download {
    Download(BulkPacer* pacer, std::size_t bytes, MonoTime at)
        : answer(pacer, bytes), requested_at(at) {}
    Answer answer;
    MonoTime requested_at;
  };

  /// \brief One step of `step_time`: admits downloads that the link is expected
  /// to carry within their objective, and sends.
  void Step() {
    clock.Advance(step_time);
    pacer.ChargeUnpaced(small_bytes);
    const MonoTime now = clock.Now().mono;
    if (random.Below(steps_per_download) == 0) {
      queue.OnLoadChanged({pacer.pending_bytes(), pacer.rate()});
      const std::uint64_t own = queue.LargeBytesOf(kClass);
      if (kService + queue.SendTime(pacer.pending_bytes() + own) <=
          kObjective) {
        const bool is_largest = random.Below(64) == 0;
        const std::size_t bytes =
            is_largest ? kLargest : kSizes.at(random.Below(kSizes.size()));
        queue.RecordAnswerSize(kClass, bytes);
        pacer.AddPending(bytes);
        open.push_back(std::make_unique<Download>(&pacer, bytes, now));
        open.back()->answer.set_due(now + kObjective - kService);
        open.back()->answer.Send();
      }
    }
    pacer.Tick();
    std::erase_if(open, [&](const auto& it) {
      pacer.RemovePending(it->answer.sent - it->answer.settled);
      it->answer.settled = it->answer.sent;
      if (it->answer.left == 0) {
        slowest = std::max<Nanoseconds>(slowest, now - it->requested_at);
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
  /// Bytes of small answers per step.
  std::size_t small_bytes = 0;
  Milliseconds step_time{kStep};
  /// Average number of steps between two requests for a download.
  std::uint64_t steps_per_download = 8;
  ManualClock clock{{MonoTime(Seconds(1)), {}}};
  BulkPacer pacer{clock, kKilobits};
  LinkQueue queue;
  Random random{20};
  std::vector<std::unique_ptr<Download>> open;
  std::size_t done = 0;
  Nanoseconds slowest{0};
};

TEST_CASE("small answers that fill the link do not stop the large ones") {
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kLinkKilobits);
  std::vector<std::unique_ptr<Answer>> answers;
  for (int i = 0; i < 9; ++i) {
    answers.push_back(std::make_unique<Answer>(&pacer, 1'000'000));
    answers.back()->Send();
  }
  for (int step = 0; step < 250; ++step) {
    pacer.ChargeUnpaced(kLinkBytesPerSecond / 50);
    clock.Advance(kStep);
    pacer.Tick();
    for (auto& it : answers) {
      it->RecordPause(clock.Now().mono);
    }
  }
  for (const auto& it : answers) {
    CHECK(it->longest_pause <= kProgressTimeout / 2);
    CHECK(it->sent < 100'000);
  }
}

TEST_CASE("the answer with the earliest due time is sent first") {
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kLinkKilobits);
  Answer without_due_time(&pacer, 1'000'000);
  Answer later(&pacer, 500'000);
  Answer sooner(&pacer, 500'000);
  later.set_due(clock.Now().mono + Seconds(4));
  sooner.set_due(clock.Now().mono + Seconds(1));
  for (Answer* it : {&without_due_time, &later, &sooner}) {
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
  CHECK(without_due_time.left > 850'000);
}

TEST_CASE("a download accepted by a leaving node completes before it ends") {
  LoadedLink link;
  link.Run(kStepsPerMinute);
  CHECK(link.done > 200);
  CHECK(link.slowest + LoadedLink::kService < kLeavingTime);
}

TEST_CASE("a download is not admitted to a link that small answers fill") {
  // Small answers use 0.7 MB/s of the link's 1.66 MB/s.
  LoadedLink link;
  link.small_bytes = 14'000;
  link.Run(kStepsPerMinute);
  CHECK(link.done > 100);
  CHECK(link.slowest + LoadedLink::kService < kLeavingTime);
}

TEST_CASE("a late download completes before its caller gives up") {
  // Its caller waits for 10 s more, while up to ten times as many downloads are
  // requested as the link can carry.
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

TEST_CASE("small answers that filled the link cause no delay after they end") {
  // They use the whole link for half a minute.
  ManualClock clock({MonoTime(Seconds(1)), {}});
  BulkPacer pacer(clock, kLinkKilobits);
  constexpr int kStepsPerSecond = 50;
  for (int step = 0; step < 30 * kStepsPerSecond; ++step) {
    pacer.ChargeUnpaced(kLinkBytesPerSecond / kStepsPerSecond);
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

TEST_CASE(
    "downloads complete in time although the process pauses between ticks") {
  for (const int ms : {20, 40, 60, 80, 100}) {
    CAPTURE(ms);
    LoadedLink link;
    link.step_time = Milliseconds(ms);
    link.Run(kStepsPerMinute);
    CHECK(link.done > 200);
    CHECK(link.slowest + LoadedLink::kService < kLeavingTime);
  }
}

}  // namespace
}  // namespace cassiabend
