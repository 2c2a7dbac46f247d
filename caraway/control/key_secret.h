#pragma once
// Creates API keys and checks the operator token.

#include <string>
#include <string_view>

#include "caraway/config/api_key.h"

namespace caraway {

struct NewKey
{
  ApiKey mKey;
  std::string mText; // "ck_<16 hex>_<64 hex>", shown once and never stored
};

// Derives a key by HMAC from a secret seed and a number, which must not be used
// twice with the same seed. A caller who holds one key can derive neither the
// seed nor other keys from it.
NewKey
DeriveKey(std::string_view aKeySeed,
          uint64_t aNumber,
          const WorkspaceId& aWorkspace);

// True if the SHA-256 digest of aToken equals aHexDigest. Compares in constant
// time.
bool
TokenMatches(std::string_view aToken, std::string_view aHexDigest);

std::string
HexText(std::string_view aBytes);

} // namespace caraway
