#pragma once

#include "cassiabend/http/reply_link.h"
#include "cassiabend/http/server_exchange.h"

namespace cassiabend {

/// \brief Way back to an entry node over the connection that it opened.
class SessionLink final : public ReplyLink {
 public:
  explicit SessionLink(ServerExchange& exchange) : exchange_(&exchange) {}

  void NotRun(const ReplyNotRun& reply) override;
  void StillRunning() override;
  void Progress() override;
  void Unknown() override;
  void Answer(RefPtr<AnswerStream> answer, const SendAnswer& bound) override;
  void Close() override;

 private:
  RefPtr<ServerExchange> exchange_;
};

}  // namespace cassiabend
