#pragma once

#include "cassiabend/http/reply_connection.h"
#include "cassiabend/http/server_exchange.h"

namespace cassiabend {

/// \brief Reply connection to another node: the exchange of its request.
class PeerReplyConnection final : public ReplyConnection {
 public:
  /// \param attempt The attempt that the request concerns.
  PeerReplyConnection(ServerExchange& exchange, const AttemptId& attempt)
      : exchange_(&exchange), attempt_(ToHex(attempt)) {}

  void SendNotRun(const ReplyNotRun& reply) override;
  void SendStillRunning() override;
  void SendBodyWanted() override;
  void SendProgress() override;
  void SendUnknown() override;
  void StreamAnswer(RefPtr<AnswerStream> answer,
                    const SendAnswer& bound) override;
  void Close() override;

 private:
  void Reply(MessageHead head, std::string_view body);

  RefPtr<ServerExchange> exchange_;
  /// Named in each reply, by which the other node knows what it answers.
  std::string attempt_;
};

}  // namespace cassiabend
