#pragma once
// What a configuration tells about streams that are resumed: where they may
// have begun, and for how long they may run.

#include "caraway/config/config_view.h"

namespace caraway {

// True if a stream that is resumed at the service may have begun at another
// software version, or at another service of its route.
bool
NeedsStreamRecords(const ConfigView& aView, const ServiceId& aService);

// The longest time-out of a route of streams; 0 without one.
Duration
LongestStream(const ConfigView& aView);

} // namespace caraway
