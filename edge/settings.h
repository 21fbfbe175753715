#ifndef EDGE_SETTINGS_H_
#define EDGE_SETTINGS_H_

// Flags and environment variables of every binary.
//
// Each flag --name may also be set by the variable GOLDCREST_NAME; the flag
// beats the variable. A binary declares its flags with gflags and names its
// own source file, so that --help shows just its flags. An unknown flag, an
// unknown GOLDCREST_ variable or a value that does not parse stops the start
// with exit code 2 and one line.

#include <string>
#include <vector>

namespace goldcrest {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// What a binary is, for its --help.
struct ProgramInfo {
  std::string name;
  std::string summary;      // one or two sentences
  std::string usage;        // the forms of the command line
  std::string flag_prefix;  // source files whose flags belong to it
};

// Reads variables and flags. Returns the remaining arguments. Prints help and
// exits for --help and --version; prints one line and exits with kExitUsage
// for anything wrong.
std::vector<std::string> ReadSettings(const ProgramInfo& program,
                                      int argc,
                                      char** argv);

// Ends the program with kExitUsage and "NAME: message" on standard error.
[[noreturn]] void FailUsage(const ProgramInfo& program,
                            const std::string& message);

// Returns the whole of a file; ends the program with kExitUsage when it cannot
// be read.
std::string ReadFileOrFail(const ProgramInfo& program, const std::string& path);

// Writes a whole file; ends the program with kExitUsage when it cannot be
// written.
void WriteFileOrFail(const ProgramInfo& program,
                     const std::string& path,
                     const std::string& text);

// Returns the entries of a list "a,b,c", without spaces and empty ones.
std::vector<std::string> SplitList(const std::string& text);

// Returns the addresses in the value of the flag `flag`; ends the program with
// kExitUsage when one of them is not IP:PORT.
std::vector<std::string> AddressesOrFail(const ProgramInfo& program,
                                         const std::string& flag,
                                         const std::string& text);

// Says whether `text` is "ip:port" with a numeric IP and a port in 1..65535.
bool IsAddress(const std::string& text);

}  // namespace goldcrest

#endif  // EDGE_SETTINGS_H_
