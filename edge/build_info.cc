#include "edge/build_info.h"

#include "source_digest.h"

namespace goldcrest {

std::string_view ProductVersion() {
  return "0.1.0";
}

std::string_view SourceDigest() {
  return GOLDCREST_SOURCE_DIGEST;
}

}  // namespace goldcrest
