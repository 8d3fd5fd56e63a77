#pragma once

#include <variant>

#include "cassiabend/core/event.h"

namespace cassiabend {

/// \brief Takes the events of the layers with I/O. Called on the thread of the
/// node's Asio context only; the events are reduced after the caller returns.
class EventSink {
 public:
  using Body = std::variant<ConfigEvent, FleetEvent, CallEvent>;

  EventSink() = default;
  EventSink(const EventSink&) = delete;
  EventSink& operator=(const EventSink&) = delete;
  virtual ~EventSink() = default;

  virtual void Post(Body body) = 0;
};

}  // namespace cassiabend
