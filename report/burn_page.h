#ifndef REPORT_BURN_PAGE_H_
#define REPORT_BURN_PAGE_H_

// The burn report as one HTML page with plots, for people and for the file
// that goes to a regulator. The page stands alone: no scripts, no other files.

#include <string>

#include "report/burn.h"

namespace goldcrest {

std::string BurnPage(const BurnReport& report);

}  // namespace goldcrest

#endif  // REPORT_BURN_PAGE_H_
