#pragma once

#include <optional>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/http/answer_stream.h"
#include "cassiabend/http/call_protocol.h"
#include "cassiabend/http/client_exchange.h"

namespace cassiabend {

/// \brief Options of an upstream call.
struct UpstreamCallOptions {
  ConnectionPool::Endpoint endpoint;
  const CallProtocol* call_protocol = nullptr;
  /// The instance of the upstream that is meant, and the time left for the head
  /// of the answer.
  StartUpstream start;
  /// Longest pause within the answer, unless the deadline allows more.
  Milliseconds progress_timeout{2'000};
  /// Answers up to this size are forwarded only once complete, so that another
  /// upstream can take over when this one fails within its answer.
  std::uint64_t whole_answer_bytes = 0;
};

/// \brief Sends one attempt to this host's upstream, writes the answer to a
/// stream and posts its events.
class UpstreamCall final : private ExchangeListener, private AnswerWriter {
 public:
  UpstreamCall(ConnectionPool* pool,
               const UpstreamCallOptions& options,
               const AttemptRequest& attempt,
               const RefPtr<BufferedRequest>& buffered_request,
               RefPtr<AnswerStream> answer,
               EventSink* sink);
  /// \brief Closes the connection when the answer is not complete, which tells
  /// the upstream that the call is cancelled.
  ~UpstreamCall() override;

 private:
  /// \returns Whether the upstream refused the attempt before running it.
  [[nodiscard]] bool is_refused() const noexcept {
    return outcome_ == UpstreamOutcome::kRefused ||
           outcome_ == UpstreamOutcome::kReplaced;
  }
  [[nodiscard]] ResponseMatch MatchResponse(const MessageHead& head) override;
  void OnResponseHead(MessageHead& head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;
  void OnRoomAvailable() override;
  /// \brief Posts `UpstreamAnswerStarted` and begins the answer's stream,
  /// unless that is done already.
  void ForwardHead();

  AttemptId attempt_;
  RefPtr<AnswerStream> answer_;
  EventSink* sink_;
  RefPtr<ClientExchange> exchange_;
  const CallProtocol* call_protocol_;
  std::uint64_t whole_answer_bytes_;
  /// Id of the request as it was sent to the upstream.
  std::string request_id_;
  /// Outcome that the last head of an answer states.
  UpstreamOutcome outcome_ = UpstreamOutcome::kAnswered;
  /// Head of an answer that is not forwarded yet.
  std::optional<MessageHead> pending_head_;
};

}  // namespace cassiabend
