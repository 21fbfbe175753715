// The entrance of every test binary, with the options of the randomised tests.

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
      Opt(options.seeds, "N")["--seeds"]("seeds of the randomised tests") |
      Opt(options.first_seed, "N")["--first_seed"]("first of these seeds") |
      Opt(options.trace)["--trace"]("print what happens in each run") |
      Opt(options.record,
          "FILE")["--record"]("file to record the last randomised run to") |
      Opt(options.break_name, "NAME")["--remove"](
          "mechanism to remove in the randomised tests; they must then fail");
  session.cli(cli);
  const int error = session.applyCommandLine(argc, argv);
  return error != 0 ? error : session.run();
}
