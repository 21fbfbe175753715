#ifndef REPORT_BURN_PAGE_H_
#define REPORT_BURN_PAGE_H_

// Formats the burn report as one HTML page with plots, for operators and for
// the file that is submitted to a regulator. The page is self-contained: it has
// no scripts and refers to no other files.

#include <string>

#include "report/burn.h"

namespace goldcrest {

// Returns the HTML page of `report`.
std::string BurnPage(const BurnReport& report);

}  // namespace goldcrest

#endif  // REPORT_BURN_PAGE_H_
