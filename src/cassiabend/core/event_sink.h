#pragma once

#include <variant>

#include "cassiabend/core/event.h"

namespace cassiabend {

/// \brief Receives the events of the layers with I/O.
class EventSink {
 public:
  using Body = std::variant<ConfigEvent, FleetEvent, CallEvent>;

  EventSink() = default;
  EventSink(const EventSink&) = delete;
  EventSink& operator=(const EventSink&) = delete;
  virtual ~EventSink() = default;

  /// \brief Queues an event, which is reduced after the caller returns. Must be
  /// called on the thread of the node's Asio context.
  virtual void Post(Body body) = 0;
};

}  // namespace cassiabend
