#pragma once
// Hashes for routing, based on xxHash. They are the same in every process and
// build, so entries agree on scores without communicating.

#include <cstdint>
#include <string_view>

namespace caraway {

// Rendezvous score of a pair: the highest score wins.
uint64_t
RendezvousScore(std::string_view aLeft, std::string_view aRight);

// Rendezvous score of a prefix hash and a target.
uint64_t
RendezvousScore(uint64_t aPrefix, std::string_view aTarget);

// Hash of the first 256 characters (bytes) of a prompt; never 0, which means
// "none".
uint64_t
PrefixHash(std::string_view aPrompt);

// Hash that identifies a request in idempotency claims.
uint64_t
Fingerprint(std::string_view aMethod,
            std::string_view aPath,
            std::string_view aBody);

} // namespace caraway
