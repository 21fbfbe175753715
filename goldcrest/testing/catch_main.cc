// The main function of every test binary, with the command-line options of the
// randomised tests.

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "goldcrest/testing/test_options.h"

namespace goldcrest {

TestOptions& Options() {
  static TestOptions options;
  return options;
}

}  // namespace goldcrest

int main(int argc, char** argv) {
  Catch::Session session;
  goldcrest::TestOptions& options = goldcrest::Options();
  using Catch::clara::Opt;
  const auto cli =
      session.cli() |
      Opt(options.seeds,
          "N")["--seeds"]("number of seeds that the randomised tests run") |
      Opt(options.first_seed,
          "N")["--first_seed"]("first seed of the randomised tests") |
      Opt(options.trace)["--trace"]("print the events of each simulated run") |
      Opt(options.record_path, "FILE")["--record"](
          "file to which the last randomised run is recorded as a fault "
          "trace") |
      Opt(options.disabled_mechanism, "NAME")["--remove"](
          "mechanism to disable in the randomised tests, which must then fail");
  session.cli(cli);
  const int error = session.applyCommandLine(argc, argv);
  return error != 0 ? error : session.run();
}
