#pragma once

#include <variant>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/call_events.h"
#include "cassiabend/core/config_events.h"
#include "cassiabend/core/fleet_events.h"

namespace cassiabend {

/// \brief An input of a node's reducers, with the time at which it occurred.
struct Event {
  Instant now;
  std::variant<ConfigEvent, FleetEvent, CallEvent> body;
};

/// \brief An output of a node's reducers, which the layers with I/O carry out.
using Effect = std::variant<ConfigEffect, FleetEffect, CallEffect>;
using Effects = std::vector<Effect>;

}  // namespace cassiabend
