#pragma once
// Whether a target may get new work, by what operators ordered for it.

#include "caraway/config/config_view.h"

namespace caraway {

// True if the target is neither leaving nor taken out of service, by itself or
// with its zone.
bool
TakesWork(const ConfigView& aView, const Target& aTarget);

// True if the roll-out of its service leaves the target without new work.
bool
IsOutOfUse(const ConfigView& aView, const Target& aTarget);

} // namespace caraway
