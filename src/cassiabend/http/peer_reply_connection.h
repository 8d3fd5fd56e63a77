#pragma once

#include "cassiabend/http/reply_connection.h"
#include "cassiabend/http/server_exchange.h"

namespace cassiabend {

/// \brief Reply connection to another node: the exchange of its request.
class PeerReplyConnection final : public ReplyConnection {
 public:
  explicit PeerReplyConnection(ServerExchange& exchange)
      : exchange_(&exchange) {}

  void SendNotRun(const ReplyNotRun& reply) override;
  void SendStillRunning() override;
  void SendProgress() override;
  void SendUnknown() override;
  void StreamAnswer(RefPtr<AnswerStream> answer,
                    const SendAnswer& bound) override;
  void Close() override;

 private:
  RefPtr<ServerExchange> exchange_;
};

}  // namespace cassiabend
