#ifndef EDGE_BUILD_INFO_H_
#define EDGE_BUILD_INFO_H_

// What a program was built from.

#include <string_view>

namespace goldcrest {

// The version of the product.
std::string_view ProductVersion();

// The first 12 hexadecimal digits of a digest of the programs' sources;
// scripts/source_digest prints that of a checkout.
std::string_view SourceDigest();

}  // namespace goldcrest

#endif  // EDGE_BUILD_INFO_H_
