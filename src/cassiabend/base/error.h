#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace cassiabend {

/// \brief Base of every layer's exceptions: what failed, where, and why.
class Error : public std::runtime_error {
 public:
  /// \param what The operation that failed, such as "read the settings".
  /// \param where The file, field, address or key concerned.
  /// \param why The reason.
  Error(const std::string& what, std::string where, std::string why)
      : std::runtime_error(what + " (" + where + "): " + why),
        where_(std::move(where)),
        why_(std::move(why)) {}

  [[nodiscard]] const std::string& where() const noexcept { return where_; }
  [[nodiscard]] const std::string& why() const noexcept { return why_; }

 private:
  std::string where_;
  std::string why_;
};

/// \brief A settings file or a command line that cannot be used.
class SettingsError : public Error {
 public:
  using Error::Error;
};

/// \brief A configuration value that breaks a rule of the model.
class ModelError : public Error {
 public:
  using Error::Error;
};

/// \brief A failure of the key-value store or of the connection to it.
class StoreError : public Error {
 public:
  using Error::Error;
};

/// \brief A failure of a remote procedure call between two processes of the
/// system.
class RpcError : public Error {
 public:
  using Error::Error;
};

/// \brief A failure on an HTTP connection.
class HttpError : public Error {
 public:
  using Error::Error;
};

}  // namespace cassiabend
