#pragma once
// The state of the entry role.

#include "caraway/entry/entry_settings.h"

namespace caraway {

struct Entry
{
  EntrySettings mSettings;
};

} // namespace caraway
