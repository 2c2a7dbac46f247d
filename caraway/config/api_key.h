#pragma once
// A caller's key as control stores it. The secret itself is shown once, at
// creation, and never stored.

#include <array>
#include <cstdint>
#include <string>

#include "caraway/base/ids.h"

namespace caraway {

using KeyDigest = std::array<uint8_t, 32>; // SHA-256 of the whole key text

struct ApiKey
{
  KeyId mId;               // public, "ck_" + 16 hex digits
  KeyDigest mDigest{};     // compared in constant time
  WorkspaceId mWorkspace;  // the only workspace this key gives access to
  bool mWithdrawn = false; // permanent once true
};

} // namespace caraway
