#pragma once
// What a configuration tells about streams that are resumed: where they may
// have begun.

#include "caraway/config/config_view.h"

namespace caraway {

// True if a stream that is resumed at the service may have begun at another
// software version, or at another service of its route.
bool
NeedsStreamRecords(const ConfigView& aView, const ServiceId& aService);

} // namespace caraway
