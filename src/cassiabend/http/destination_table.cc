#include "cassiabend/http/destination_table.h"

#include <utility>

#include "cassiabend/base/log.h"

namespace cassiabend {
namespace {

/// Lines about attempts that are cut when the process ends.
constexpr std::size_t kMostCutLines = 16;

}  // namespace

DestinationTable::DestinationTable(OutgoingPool* pool,
                                   const DestinationOptions& options,
                                   RefPtr<HeldBytes> held_bytes,
                                   EventSink* sink)
    : pool_(pool),
      options_(options),
      held_bytes_(std::move(held_bytes)),
      sink_(sink) {}

void DestinationTable::Arrive(ConnectionId id,
                              const PeerRequest& request,
                              RefPtr<HeldRequest> held,
                              std::unique_ptr<ReplyLink> link) {
  const AttemptRequest& attempt = request.attempt;
  links_[id] = {attempt.id, request.verb, std::move(link)};
  if (request.verb == AttemptVerb::kFetch) {
    sink_->Post(
        CallEvent(FetchArrived{id, attempt.id, attempt.destination_start_id}));
    return;
  }
  if (request.verb == AttemptVerb::kCancel) {
    sink_->Post(
        CallEvent(CancelArrived{id, attempt.id, attempt.destination_start_id}));
    return;
  }
  Attempt& entry = attempts_[attempt.id];
  ++entry.run_links;
  if (entry.held == nullptr) {
    entry.request = attempt;
    entry.held = std::move(held);
  }
  sink_->Post(CallEvent(AttemptArrived{id, attempt}));
}

std::string DestinationTable::AttemptOf(ConnectionId id) const {
  const auto found = links_.find(id);
  return found == links_.end() ? std::string() : ToHex(found->second.attempt);
}

void DestinationTable::LinkDone(ConnectionId id) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  delivered_.push_back(found->second.attempt);
  (void)TakeLink(id);
  sink_->Post(CallEvent(AnswerSent{id}));
}

void DestinationTable::LinkGone(ConnectionId id) {
  if (TakeLink(id) != nullptr) {
    sink_->Post(CallEvent(ConnectionLost{id}));
  }
}

std::unique_ptr<ReplyLink> DestinationTable::TakeLink(ConnectionId id) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return nullptr;
  }
  Link link = std::move(found->second);
  links_.erase(found);
  const auto attempt = attempts_.find(link.attempt);
  if (attempt == attempts_.end()) {
    return std::move(link.way);
  }
  if (link.verb == AttemptVerb::kRun) {
    --attempt->second.run_links;
  }
  if (attempt->second.bound_link == id) {
    attempt->second.bound_link = 0;
    if (attempt->second.is_released) {
      attempts_.erase(attempt);
    }
  }
  return std::move(link.way);
}

void DestinationTable::Execute(const StartUpstream& effect) {
  const auto found = attempts_.find(effect.attempt);
  if (found == attempts_.end() || found->second.held == nullptr) {
    sink_->Post(CallEvent(UpstreamUnreachable{effect.attempt}));
    return;
  }
  Attempt& attempt = found->second;
  attempt.started = true;
  if (attempt.answer == nullptr) {
    attempt.answer = new AnswerStream(
        {.kept_bytes = options_.held_answer_bytes}, held_bytes_);
  }
  attempt.call = std::make_unique<UpstreamCall>(
      pool_,
      UpstreamCallOptions{.endpoint = options_.upstream,
                          .wire = options_.wire,
                          .start = effect,
                          .progress_timeout = options_.progress_timeout,
                          .whole_answer_bytes = options_.whole_answer_bytes},
      attempt.request, attempt.held, attempt.answer, sink_);
  FreeDelivered();
  pool_->Prepare(options_.upstream, options_.prepared_connections);
}

void DestinationTable::Execute(const CancelUpstream& effect) {
  const auto found = attempts_.find(effect.attempt);
  if (found != attempts_.end()) {
    found->second.call = nullptr;
  }
}

void DestinationTable::Execute(const SendAnswer& effect) {
  const auto link = links_.find(effect.connection);
  const auto found = attempts_.find(effect.attempt);
  if (link == links_.end()) {
    return;
  }
  if (found == attempts_.end() || found->second.answer == nullptr ||
      !found->second.answer->whole()) {
    CloseLink(effect.connection);
    return;
  }
  Attempt& attempt = found->second;
  attempt.held = nullptr;
  const RefPtr<AnswerStream> answer = attempt.answer;
  const ConnectionId old_link =
      std::exchange(attempt.bound_link, effect.connection);
  if (old_link != 0 && old_link != effect.connection && !answer->ended()) {
    CloseLink(old_link);
  }
  link->second.way->Answer(answer, effect);
}

void DestinationTable::CloseLink(ConnectionId id) {
  if (const auto link = TakeLink(id)) {
    link->Close();
    sink_->Post(CallEvent(ConnectionLost{id}));
  }
}

void DestinationTable::Execute(const ReplyNotRun& effect) {
  if (const auto link = TakeLink(effect.connection)) {
    link->NotRun(effect);
  }
  ForgetIfRefused(effect.attempt);
}

void DestinationTable::Execute(const ReplyStillRunning& effect) {
  if (const auto link = TakeLink(effect.connection)) {
    link->StillRunning();
  }
}

void DestinationTable::Execute(const ReplyProgress& effect) {
  const auto link = links_.find(effect.connection);
  if (link != links_.end()) {
    link->second.way->Progress();
  }
}

void DestinationTable::Execute(const ReplyUnknown& effect) {
  if (const auto link = TakeLink(effect.connection)) {
    link->Unknown();
  }
}

void DestinationTable::Execute(const ReleaseAttempt& effect) {
  const auto found = attempts_.find(effect.attempt);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  const bool is_on_its_way = attempt.bound_link != 0 &&
                             attempt.answer != nullptr &&
                             !attempt.answer->ended();
  if (is_on_its_way) {
    attempt.is_released = true;
    return;
  }
  attempts_.erase(found);
}

void DestinationTable::LogOpen() const {
  std::size_t lines = 0;
  for (const auto& [id, link] : links_) {
    if (++lines > kMostCutLines) {
      break;
    }
    const auto found = attempts_.find(link.attempt);
    const bool is_sending =
        found != attempts_.end() && found->second.bound_link == id;
    Log(LogLevel::kWarning, "attempt_cut",
        {{"attempt", ToHex(link.attempt)},
         {"is_sending", is_sending},
         {"open_links", std::uint64_t{links_.size()}}});
  }
}

void DestinationTable::Close() {
  links_.clear();
  attempts_.clear();
}

void DestinationTable::FreeDelivered() {
  while (!delivered_.empty() &&
         (held_bytes_->n > options_.delivered_limit_bytes ||
          !attempts_.contains(delivered_.front()))) {
    const auto found = attempts_.find(delivered_.front());
    delivered_.pop_front();
    if (found != attempts_.end() && found->second.bound_link == 0) {
      // The call holds the answer too.
      found->second.call = nullptr;
      found->second.answer = nullptr;
    }
  }
}

void DestinationTable::ForgetIfRefused(const AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found != attempts_.end() && !found->second.started &&
      found->second.run_links == 0) {
    attempts_.erase(found);
  }
}

}  // namespace cassiabend
