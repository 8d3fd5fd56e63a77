// The share of a narrow link that large answers get.

#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "cassiabend/http/bulk_pacer.h"

namespace cassiabend {
namespace {

constexpr std::uint32_t kNarrow = 10'000;
/// Bytes a second of `kNarrow`.
constexpr std::size_t kWidth = 1'250'000;
constexpr Milliseconds kStep{20};

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

  BulkPacer* pacer;
  std::size_t left;
  std::size_t sent = 0;
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
  }
  // Five seconds: most of the link is used, and not all of it.
  CHECK(sent() >= kWidth * 5 * 8 / 10);
  CHECK(sent() <= kWidth * 5 * 9 / 10 + kMostQueued);
  // And none of them has fallen behind the others.
  for (const auto& it : answers) {
    CHECK(it->sent >= sent() / 9 - 40'000);
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
  third.Send();
  for (int step = 0; step < 10; ++step) {
    clock.Advance(kStep);
    pacer.Tick();
  }
  CHECK(third.left == 0);
  CHECK(first.sent > 100'000);
}

}  // namespace
}  // namespace cassiabend
