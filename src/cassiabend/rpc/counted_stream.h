#pragma once

#include <kj/async-io.h>

#include <atomic>
#include <cstdint>
#include <utility>

namespace cassiabend {

/// \brief Bytes of TCP traffic, including estimated headers, and the number of
/// rejected connections. May be read on any thread.
struct TcpCounters {
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> received{0};
  /// Connections closed on accept because the limit was reached.
  std::atomic<std::uint64_t> rejected{0};
};

/// \brief Estimated size of the IPv4 and TCP headers of one read or write.
inline constexpr std::uint64_t kTcpHeaderBytes = 52;

/// \brief A stream that counts the bytes read from and written to another.
class CountedStream final : public kj::AsyncIoStream {
 public:
  CountedStream(kj::Own<kj::AsyncIoStream> inner, TcpCounters* counters)
      : inner_(kj::mv(inner)), counters_(counters) {}

  /// \returns The number of reads and writes so far; unchanged while the stream
  /// is idle.
  [[nodiscard]] std::uint64_t operations() const noexcept {
    return operations_;
  }

  // Overrides of kj::AsyncIoStream, which follow KJ's naming.
  kj::Promise<std::size_t> tryRead(void* buffer,
                                   std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    return inner_->tryRead(buffer, min_bytes, max_bytes)
        .then([this](std::size_t n) {
          Count(n, &counters_->received);
          return n;
        });
  }
  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    Count(size, &counters_->sent);
    return inner_->write(buffer, size);
  }
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    std::size_t size = 0;
    for (const auto& it : pieces) {
      size += it.size();
    }
    Count(size, &counters_->sent);
    return inner_->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return inner_->whenWriteDisconnected();
  }
  void shutdownWrite() override { inner_->shutdownWrite(); }
  void abortRead() override { inner_->abortRead(); }
  void getsockopt(int level,
                  int option,
                  void* value,
                  kj::uint* length) override {
    inner_->getsockopt(level, option, value, length);
  }

 private:
  void Count(std::size_t n, std::atomic<std::uint64_t>* counter) {
    ++operations_;
    counter->fetch_add(n + kTcpHeaderBytes, std::memory_order_relaxed);
  }

  kj::Own<kj::AsyncIoStream> inner_;
  TcpCounters* counters_;
  std::uint64_t operations_ = 0;
};

}  // namespace cassiabend
