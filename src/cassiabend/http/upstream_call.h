#pragma once

#include <optional>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/http/answer_stream.h"
#include "cassiabend/http/client_exchange.h"

namespace cassiabend {

/// \brief What an upstream call needs besides the attempt.
struct UpstreamCallOptions {
  OutgoingPool::Endpoint endpoint;
  /// Time left for the head of the answer.
  Milliseconds deadline{0};
  /// Longest pause within the answer.
  Milliseconds progress_timeout{2'000};
};

/// \brief One attempt at this host's upstream.
class UpstreamCall final : private ExchangeListener, private AnswerWriter {
 public:
  UpstreamCall(OutgoingPool* pool,
               const UpstreamCallOptions& options,
               const AttemptRequest& attempt,
               const RefPtr<HeldRequest>& held,
               RefPtr<AnswerStream> answer,
               EventSink* sink);
  /// \brief Closes the connection when the answer is not whole, by which the
  /// upstream learns that the call is cancelled.
  ~UpstreamCall() override;

 private:
  void OnResponseHead(MessageHead& head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;
  void OnRoom() override;
  /// \brief Tells that the answer begins, unless that is told already.
  void PassOnHead();

  AttemptId attempt_;
  RefPtr<AnswerStream> answer_;
  EventSink* sink_;
  RefPtr<ClientExchange> exchange_;
  bool is_shed_ = false;
  /// Head of a small answer that is not whole yet.
  std::optional<MessageHead> pending_head_;
};

}  // namespace cassiabend
