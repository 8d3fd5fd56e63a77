#pragma once

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace cassiabend {

/// \brief A temporary directory for one test's files. The destructor removes it
/// unless the environment variable CASSIABEND_KEEP is set.
class WorkFolder {
 public:
  explicit WorkFolder(const std::string& name)
      : path_(std::filesystem::temp_directory_path() /
              ("cassiabend-" + name + "-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(path_);
  }
  WorkFolder(const WorkFolder&) = delete;
  WorkFolder& operator=(const WorkFolder&) = delete;
  ~WorkFolder() {
    std::error_code ec;
    if (std::getenv("CASSIABEND_KEEP") == nullptr) {
      std::filesystem::remove_all(path_, ec);
    }
  }

  [[nodiscard]] std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

/// \returns The directory of the built programs: the environment variable
/// CASSIABEND_BIN, or the current directory.
inline std::string ProgramFolder() {
  const char* folder = std::getenv("CASSIABEND_BIN");
  return folder == nullptr ? "." : folder;
}

}  // namespace cassiabend
