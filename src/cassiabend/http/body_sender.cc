#include "cassiabend/http/body_sender.h"

#include <string_view>
#include <utility>

#include "cassiabend/core/large_answer.h"

namespace cassiabend {
namespace {

/// Limit of the body's bytes in the connection's output.
constexpr std::size_t kOutputWindowBytes = std::size_t{64} * 1024;

}  // namespace

BodySender::BodySender(BulkPacer* pacer,
                       RefPtr<const BufferedRequest> source,
                       RefPtr<Connection> connection)
    : pacer_(pacer),
      source_(std::move(source)),
      connection_(std::move(connection)) {
  pacer_->AddPending(source_->body().size());
}

BodySender::~BodySender() {
  pacer_->RemovePending(source_->body().size() - position_);
}

void BodySender::Pump() {
  const std::string_view body = source_->body();
  while (!is_done() && connection_->unwritten() < kOutputWindowBytes) {
    std::string_view bytes = body.substr(position_, kOutputWindowBytes);
    if (position_ < kLargeAnswerBytes) {
      bytes = bytes.substr(0, kLargeAnswerBytes - position_);
      pacer_->ChargeUnpaced(bytes.size());
    } else {
      bytes = bytes.substr(0, pacer_->Acquire(this, bytes.size()));
    }
    if (bytes.empty()) {
      break;
    }
    connection_->output()->append(bytes);
    position_ += bytes.size();
    pacer_->RemovePending(bytes.size());
  }
  connection_->Flush();
}

}  // namespace cassiabend
