#ifndef GOLDCREST_TESTING_TEST_OPTIONS_H_
#define GOLDCREST_TESTING_TEST_OPTIONS_H_

// Options of the test binaries beyond Catch2's own.

#include <cstdint>
#include <string>

namespace goldcrest {

struct TestOptions {
  // How many seeds a randomised test runs; 0 leaves it to the test.
  uint64_t seeds = 0;
  uint64_t first_seed = 1;
  // Whether to print what happens in each run.
  bool trace = false;
  // File to record the last run to, as a fault trace; empty records none.
  std::string record;
  // Name of the mechanism to remove; empty removes none.
  std::string break_name;
};

// Returns the options of this run.
TestOptions& Options();

}  // namespace goldcrest

#endif  // GOLDCREST_TESTING_TEST_OPTIONS_H_
