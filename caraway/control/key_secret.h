#pragma once
// New keys and the checking of the operators' token.

#include <string>
#include <string_view>

#include "caraway/config/api_key.h"

namespace caraway {

struct NewKey
{
  ApiKey mKey;
  std::string mText; // "ck_<16 hex>_<64 hex>", shown once and never stored
};

// Derives a key from a secret seed and a number that is not used twice with it.
// HMAC keeps the seed and other keys unknown to whoever holds one key.
NewKey
DeriveKey(std::string_view aKeySeed,
          uint64_t aNumber,
          const WorkspaceId& aWorkspace);

// True if the SHA-256 digest of aToken equals the hex digest. Takes the same
// time wherever they differ.
bool
TokenMatches(std::string_view aToken, std::string_view aHexDigest);

std::string
HexText(std::string_view aBytes);

} // namespace caraway
