#ifndef EDGE_POOL_PROGRAM_H_
#define EDGE_POOL_PROGRAM_H_

// The command lines of entry and control daemons.
//
// Settings are flags or GOLDCREST_ variables, or stand in a file that holds
// one --name=value a line, empty lines and lines that begin with #. Flags on
// the command line beat the file. The file is read again when it changes; the
// seeds in it are taken over, everything else needs a restart.

#include <string>

#include "edge/pool_protocol.h"

namespace goldcrest {

// Runs an entry daemon until it is drained; returns the exit code.
// `settings_file` may be empty.
int RunEntryProgram(int argc,
                    char** argv,
                    const std::string& settings_file,
                    const CallerProtocol& callers,
                    const WorkerProtocol& workers);

// Runs a control daemon until it is drained; returns the exit code.
int RunControlProgram(int argc,
                      char** argv,
                      const std::string& settings_file,
                      const ControlProtocol& control,
                      const WorkerProtocol& workers);

}  // namespace goldcrest

#endif  // EDGE_POOL_PROGRAM_H_
