#include "cassiabend/ctl/input.h"

#include <fstream>
#include <istream>
#include <iterator>
#include <random>

#include "cassiabend/base/error.h"

namespace cassiabend {

void FailUsage(const std::string& where, const std::string& why) {
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

}  // namespace cassiabend
