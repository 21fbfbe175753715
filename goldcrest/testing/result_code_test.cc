#include "goldcrest/result_code.h"

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

namespace goldcrest {

TEST_CASE("ResultCode: docs/RESULT_CODES.md has the same table as the code") {
  std::ifstream file(std::string(GOLDCREST_SOURCE_DIR) +
                     "/docs/RESULT_CODES.md");
  REQUIRE(file);
  std::string documented;
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("| ", 0) == 0 && line.size() > 2 && line[2] >= '0' &&
        line[2] <= '9') {
      documented += line + "\n";
    }
  }
  std::ostringstream expected;
  for (const ResultCodeRow& row : ResultCodeTable()) {
    expected << "| " << static_cast<int>(row.code) << " | " << row.name << " | "
             << row.http_status << " | " << row.meaning << " |\n";
  }
  CHECK(documented == expected.str());
}

TEST_CASE("ResultCode: numbers are strictly ascending and names are unique") {
  std::set<std::string_view> names;
  int last = -1;
  for (const ResultCodeRow& row : ResultCodeTable()) {
    CHECK(static_cast<int>(row.code) > last);
    last = static_cast<int>(row.code);
    CHECK(names.insert(row.name).second);
    CHECK(ResultCodeFromNumber(last) == row.code);
  }
  CHECK(ResultCodeFromNumber(999) == ResultCode::kInternal);
}

}  // namespace goldcrest
