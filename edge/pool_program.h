#ifndef EDGE_POOL_PROGRAM_H_
#define EDGE_POOL_PROGRAM_H_

// Main programs of entry and control daemons.
//
// Settings are command-line flags, GOLDCREST_ environment variables, or lines
// of a settings file. The file holds one --name=value per line; empty lines and
// lines that begin with # are ignored. Flags on the command line override the
// file. The file is read again when it changes: new seeds take effect
// immediately, all other settings need a restart.

#include <string>

#include "edge/pool_protocol.h"

namespace goldcrest {

// Runs an entry daemon until it is drained. Returns the exit code.
// `settings_file` may be empty.
int RunEntryProgram(int argc,
                    char** argv,
                    const std::string& settings_file,
                    const CallerProtocol& callers,
                    const WorkerProtocol& workers);

// Runs a control daemon until it is drained. Returns the exit code.
int RunControlProgram(int argc,
                      char** argv,
                      const std::string& settings_file,
                      const ControlProtocol& control,
                      const WorkerProtocol& workers);

}  // namespace goldcrest

#endif  // EDGE_POOL_PROGRAM_H_
