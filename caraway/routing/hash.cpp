// Hashes for routing.

#include "caraway/routing/hash.h"

#include <xxhash.h>

namespace caraway {

namespace {

constexpr size_t kPrefixCharacters = 256;

uint64_t
HashOf(std::string_view aBytes, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace

uint64_t
RendezvousScore(std::string_view aLeft, std::string_view aRight)
{
  return HashOf(aRight, HashOf(aLeft, 0));
}

uint64_t
RendezvousScore(uint64_t aPrefix, std::string_view aTarget)
{
  return HashOf(aTarget, aPrefix);
}

uint64_t
PrefixHash(std::string_view aPrompt)
{
  const uint64_t hash = HashOf(aPrompt.substr(0, kPrefixCharacters), 0);
  return hash == 0 ? 1 : hash;
}

uint64_t
Fingerprint(std::string_view aMethod,
            std::string_view aPath,
            std::string_view aBody)
{
  // Each hash seeds the next, so moving bytes between fields changes the
  // result.
  return HashOf(aBody, HashOf(aPath, HashOf(aMethod, 0)));
}

} // namespace caraway
