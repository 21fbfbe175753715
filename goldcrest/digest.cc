#include "goldcrest/digest.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace goldcrest {
namespace {

Poco::DigestEngine::Digest Sha256(std::string_view text) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(text.data(), text.size());
  return engine.digest();
}

// Mixes the bits of `value` (the finaliser of the splitmix64 generator).
uint64_t Mix(uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// Returns the FNV-1a hash of `text`, with the published 64-bit parameters.
uint64_t Fnv1a(std::string_view text) {
  uint64_t hash = 14695981039346656037ULL;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 1099511628211ULL;
  }
  return hash;
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  return Poco::DigestEngine::digestToHex(Sha256(text));
}

uint64_t StableHash(std::string_view text) {
  const Poco::DigestEngine::Digest digest = Sha256(text);
  uint64_t hash = 0;
  for (int i = 0; i < 8; ++i) {
    hash = (hash << 8) | digest[i];
  }
  return hash;
}

// Each submission needs one weight for each domain and each VM of its home
// domain, so the weights use FNV-1a and a mixing step instead of the slower
// SHA-2. Both hashes are mixed before they are combined, because FNV alone is
// nearly linear in its last bytes.
uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  return Mix(Mix(Fnv1a(key)) + 0x9e3779b97f4a7c15ULL * (Mix(Fnv1a(node)) | 1));
}

}  // namespace goldcrest
