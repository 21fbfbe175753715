#ifndef GOLDCREST_DIGEST_H_
#define GOLDCREST_DIGEST_H_

// Stable hash functions: they give the same values on every VM, in every build
// and after every upgrade.
//
// They decide which VM owns a submission and whether two bodies are equal, so
// they use published functions (SHA-2 by POCO), never std::hash.

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrest {

// Returns the SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

// Returns the first 64 bits of the SHA-256 of `text`.
uint64_t StableHash(std::string_view text);

// Returns the weight of `node` for `key` in rendezvous hashing. Of a set of
// nodes, the one with the greatest weight is chosen, so removing a node moves
// only the keys that were assigned to it.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

}  // namespace goldcrest

#endif  // GOLDCREST_DIGEST_H_
