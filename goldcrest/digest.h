#ifndef GOLDCREST_DIGEST_H_
#define GOLDCREST_DIGEST_H_

// Stable hashes: the same on every VM, in every build and after every upgrade.
//
// They decide which VM owns a submission and whether two bodies are the same,
// so they come from published functions (SHA-2 by POCO), never std::hash.

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrest {

// Returns the SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

// Returns the first 64 bits of the SHA-256 of `text`.
uint64_t StableHash(std::string_view text);

// Returns the rendezvous weight of `node` for `key`. Of a set of nodes, the
// one with the greatest weight is chosen; removing a node moves only the keys
// that it held.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

}  // namespace goldcrest

#endif  // GOLDCREST_DIGEST_H_
