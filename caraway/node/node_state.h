#pragma once
// The state of the node role.

#include "caraway/node/node_settings.h"

namespace caraway {

struct Node
{
  NodeSettings mSettings;
};

} // namespace caraway
