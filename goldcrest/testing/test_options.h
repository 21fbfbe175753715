#ifndef GOLDCREST_TESTING_TEST_OPTIONS_H_
#define GOLDCREST_TESTING_TEST_OPTIONS_H_

// Command-line options of the test binaries in addition to those of Catch2.

#include <cstdint>
#include <string>

namespace goldcrest {

struct TestOptions {
  // Number of seeds that a randomised test runs; 0 selects the test's default.
  uint64_t seeds = 0;
  uint64_t first_seed = 1;
  // Whether to print the events of each simulated run.
  bool trace = false;
  // File to which the last run is recorded as a fault trace; empty disables
  // recording.
  std::string record_path;
  // Name of the mechanism to disable; empty disables none.
  std::string disabled_mechanism;
};

// Returns the options of this process, which main() fills in.
TestOptions& Options();

}  // namespace goldcrest

#endif  // GOLDCREST_TESTING_TEST_OPTIONS_H_
