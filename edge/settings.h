#ifndef EDGE_SETTINGS_H_
#define EDGE_SETTINGS_H_

// Command-line flags and environment variables, the same for every binary.
//
// Each flag --name can also be set by the variable GOLDCREST_NAME; the flag
// overrides the variable. A binary declares its flags with gflags and gives its
// source file in ProgramInfo, so that --help lists only its own flags. An
// unknown flag, an unknown GOLDCREST_ variable or an invalid value ends the
// program at startup with exit code 2 and a one-line message.

#include <string>
#include <vector>

namespace goldcrest {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// Description of a binary for its --help and its error messages.
struct ProgramInfo {
  std::string name;
  std::string summary;      // one or two sentences
  std::string usage;        // the synopsis of the command line
  std::string flag_source;  // flags of source files with this in their path
};

// Reads environment variables, then flags. Returns the remaining arguments.
// Prints and exits with kExitOk for --help and --version. Prints one line and
// exits with kExitUsage on any error.
std::vector<std::string> ReadSettings(const ProgramInfo& program,
                                      int argc,
                                      char** argv);

// Ends the program with kExitUsage and "NAME: message" on standard error.
[[noreturn]] void FailUsage(const ProgramInfo& program,
                            const std::string& message);

// Returns the contents of a file. Ends the program with kExitUsage if it cannot
// be read.
std::string ReadFileOrFail(const ProgramInfo& program, const std::string& path);

// Replaces the contents of a file. Ends the program with kExitUsage if it
// cannot be written.
void WriteFileOrFail(const ProgramInfo& program,
                     const std::string& path,
                     const std::string& text);

// Splits a list "a,b,c". Entries are trimmed and empty ones are omitted.
std::vector<std::string> SplitList(const std::string& text);

// Returns the addresses in `text`, the value of the flag `flag`. Ends the
// program with kExitUsage if one of them is not IP:PORT.
std::vector<std::string> AddressesOrFail(const ProgramInfo& program,
                                         const std::string& flag,
                                         const std::string& text);

// Returns true if `text` is "ip:port" with an IPv4 address of four decimal
// numbers and a port in 1..65535, without leading zeros or other characters.
bool IsAddress(const std::string& text);

}  // namespace goldcrest

#endif  // EDGE_SETTINGS_H_
