#pragma once

#include <optional>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/http/answer_stream.h"
#include "cassiabend/http/call_wire.h"
#include "cassiabend/http/client_exchange.h"

namespace cassiabend {

/// \brief What an upstream call needs besides the attempt.
struct UpstreamCallOptions {
  OutgoingPool::Endpoint endpoint;
  const CallWire* wire = nullptr;
  /// The upstream's start that is meant, and the time left for the head of the
  /// answer.
  StartUpstream start;
  /// Longest pause within the answer.
  Milliseconds progress_timeout{2'000};
  /// Answers up to this size are passed on only when they are whole, so that an
  /// upstream that breaks off within one can still be replaced by another.
  std::uint64_t whole_answer_bytes = 0;
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
  /// \returns Whether the upstream refused the attempt before running it.
  [[nodiscard]] bool is_refused() const noexcept {
    return verdict_ == UpstreamVerdict::kRefused ||
           verdict_ == UpstreamVerdict::kReplaced;
  }
  [[nodiscard]] bool IsOwnResponse(const MessageHead& head) override;
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
  const CallWire* wire_;
  std::uint64_t whole_answer_bytes_;
  /// The caller's name for the request, as it was sent.
  std::string request_id_;
  /// What the newest head of an answer says.
  UpstreamVerdict verdict_ = UpstreamVerdict::kAnswered;
  /// Head of a small answer that is not whole yet.
  std::optional<MessageHead> pending_head_;
};

}  // namespace cassiabend
