#pragma once

#include <variant>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/call_events.h"
#include "cassiabend/core/config_events.h"
#include "cassiabend/core/fleet_events.h"

namespace cassiabend {

/// \brief Anything that may happen to a node, with the time at which it did.
struct Event {
  Instant now;
  std::variant<ConfigEvent, FleetEvent, CallEvent> body;
};

/// \brief Anything that a node may do in answer to an event.
using Effect = std::variant<ConfigEffect, FleetEffect, CallEffect>;
using Effects = std::vector<Effect>;

}  // namespace cassiabend
