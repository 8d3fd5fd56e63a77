#pragma once

#include <cstddef>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/http/bulk_pacer.h"
#include "cassiabend/http/connection.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief Sends the body of a request, the part beyond its first 16 KB at the
/// pace of this host's network link, as `ServerExchange` does with answers.
class BodySender final : private BulkPacer::Waiter {
 public:
  /// \param connection Where the body is sent; its head is in the output.
  BodySender(BulkPacer* pacer,
             RefPtr<const BufferedRequest> source,
             RefPtr<Connection> connection);
  BodySender(const BodySender&) = delete;
  BodySender& operator=(const BodySender&) = delete;
  ~BodySender() override;

  /// \brief Sends as much as the pacer and the connection's output allow.
  void Pump();
  [[nodiscard]] bool is_done() const noexcept {
    return position_ == source_->body().size();
  }

 private:
  void OnSendAllowed() override { Pump(); }

  BulkPacer* pacer_;
  RefPtr<const BufferedRequest> source_;
  RefPtr<Connection> connection_;
  std::size_t position_ = 0;
};

}  // namespace cassiabend
