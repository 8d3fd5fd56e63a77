#include "cassiabend/base/line_writer.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <sstream>
#include <string>

#include "cassiabend/base/log_events.h"

namespace cassiabend {
namespace {

class Pipe {
 public:
  Pipe() { REQUIRE(::pipe(ends_.data()) == 0); }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  ~Pipe() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }

  [[nodiscard]] int write_end() const { return ends_[1]; }
  std::string Read(std::size_t max_bytes) const {
    std::string out(max_bytes, '\0');
    const ssize_t n = ::read(ends_[0], out.data(), out.size());
    out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return out;
  }

 private:
  std::array<int, 2> ends_{};
};

TEST_CASE("a stalled reader does not block writes, and drops are reported") {
  constexpr std::size_t kCapacity = 8'192;
  const std::string line(999, 'x');
  Pipe pipe;
  LineWriter writer(pipe.write_end(), kCapacity);
  // Far more than the pipe and the buffer hold, so a blocking write would hang.
  constexpr int kLines = 1'000;
  for (int i = 0; i < kLines; ++i) {
    writer.Write(line);
  }
  const std::uint64_t dropped = writer.dropped();
  CHECK(dropped > 0);
  CHECK(dropped < kLines);
  std::string read = pipe.Read(1 << 20);
  writer.Write("last");
  read += pipe.Read(1 << 20);
  CHECK(read.find("\"log_lines_dropped\",\"lines\":" +
                  std::to_string(dropped)) != std::string::npos);
  CHECK(read.ends_with("last\n"));
  CHECK(writer.dropped() == dropped);
}

TEST_CASE("lines are written at once while the reader keeps up") {
  Pipe pipe;
  LineWriter writer(pipe.write_end(), 8'192);
  writer.Write("one");
  CHECK(pipe.Read(100) == "one\n");
  writer.Write("two");
  CHECK(pipe.Read(100) == "two\n");
  CHECK(writer.dropped() == 0);
}

TEST_CASE("the operators' page explains every event of the table") {
  const char* root = std::getenv("CASSIABEND_ROOT");
  REQUIRE(root != nullptr);
  std::ifstream in(std::string(root) + "/docs/OPERATIONS.md");
  std::ostringstream text;
  text << in.rdbuf();
  for (const std::string_view it : kNodeLogEvents) {
    CAPTURE(it);
    CHECK(text.str().find("`" + std::string(it) + "`") != std::string::npos);
  }
}

}  // namespace
}  // namespace cassiabend
