#pragma once

#include <cstdint>
#include <memory>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/core/placement/traffic_split.h"
#include "cassiabend/http/answer_stream.h"
#include "cassiabend/http/client_exchange.h"

namespace cassiabend {

/// \brief Sends one attempt, fetch or cancel from the entry node to another
/// node, and posts what comes back as events.
class AttemptClient final : private ExchangeListener, private AnswerWriter {
 public:
  /// \param pacer Paces the body if the attempt states its size.
  /// \param buffered_request The caller's request; null for a fetch or cancel.
  /// \param traffic Counts the bytes; may be null.
  AttemptClient(ConnectionPool* pool,
                BulkPacer* pacer,
                const SendAttempt& send,
                const RefPtr<BufferedRequest>& buffered_request,
                RefPtr<BufferedBytes> buffered_bytes,
                Milliseconds progress_timeout,
                TrafficSplit* traffic,
                EventSink* sink);
  ~AttemptClient() override;

  [[nodiscard]] AttemptVerb verb() const noexcept { return verb_; }
  /// \returns The answer, once it has begun; null before.
  [[nodiscard]] const RefPtr<AnswerStream>& answer() const noexcept {
    return answer_;
  }

 private:
  [[nodiscard]] ResponseMatch MatchResponse(const MessageHead& head) override;
  void OnRequestSent(std::uint64_t bytes) override;
  void OnResponseHead(MessageHead& head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;
  void OnRoomAvailable() override;

  void PostLost(ConnectionLoss loss);
  void RecordReceived(std::uint64_t bytes) noexcept;

  CallId call_;
  AttemptId attempt_;
  AttemptVerb verb_;
  RefPtr<BufferedBytes> buffered_bytes_;
  TrafficSplit* traffic_;
  std::string peer_ip_;
  EventSink* sink_;
  RefPtr<ClientExchange> exchange_;
  RefPtr<AnswerStream> answer_;
};

}  // namespace cassiabend
