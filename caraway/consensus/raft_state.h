#pragma once
// The state of one replica of the agreed log.

#include "caraway/consensus/raft.h"

namespace caraway {

struct Raft
{
  RaftSettings mSettings;
};

} // namespace caraway
