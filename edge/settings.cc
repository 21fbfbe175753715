#include "edge/settings.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <gflags/gflags.h>

#include "edge/build_info.h"

extern char** environ;  // NOLINT(readability-redundant-declaration)

namespace goldcrest {
namespace {

constexpr char kVariablePrefix[] = "GOLDCREST_";

// Returns true if the flag is declared in one of the program's own sources.
bool IsOwnFlag(const ProgramInfo& program,
               const gflags::CommandLineFlagInfo& flag) {
  return flag.filename.find(program.flag_source) != std::string::npos;
}

// Looks up one of the program's own flags. Returns false if there is none.
bool FindOwnFlag(const ProgramInfo& program,
                 const std::string& name,
                 gflags::CommandLineFlagInfo* flag) {
  return gflags::GetCommandLineFlagInfo(name.c_str(), flag) &&
         IsOwnFlag(program, *flag);
}

// Sets a flag. `source` is the flag or variable as the user wrote it.
void SetFlag(const ProgramInfo& program,
             const std::string& name,
             const std::string& value,
             const std::string& source) {
  gflags::CommandLineFlagInfo flag;
  if (!FindOwnFlag(program, name, &flag)) {
    FailUsage(program, "unknown setting " + source);
  }
  if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
    FailUsage(program, "'" + value + "' is not a valid value of " + source +
                           " (" + flag.type + ")");
  }
}

void ReadVariables(const ProgramInfo& program) {
  const std::string prefix = kVariablePrefix;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string text = *entry;
    const size_t equals = text.find('=');
    if (text.rfind(prefix, 0) != 0 || equals == std::string::npos) {
      continue;
    }
    const std::string variable = text.substr(0, equals);
    const std::string name = Poco::toLower(variable.substr(prefix.size()));
    SetFlag(program, name, text.substr(equals + 1), variable);
  }
}

void PrintHelp(const ProgramInfo& program) {
  std::cout << program.name << " " << ProductVersion() << "\n\n"
            << program.summary << "\n\nUsage:\n  " << program.usage
            << "\n\nSettings (also as variables GOLDCREST_NAME; a flag "
               "overrides its variable):\n";
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const gflags::CommandLineFlagInfo& flag : flags) {
    if (!IsOwnFlag(program, flag)) {
      continue;
    }
    std::cout << "  --" << flag.name << "  (" << flag.type << ", default '"
              << flag.default_value << "')\n      " << flag.description << "\n";
  }
}

// A command-line argument "--name" or "--name=value".
struct FlagArgument {
  std::string name;
  std::string value;
  bool has_value = false;
};

FlagArgument SplitFlag(const std::string& argument) {
  FlagArgument flag;
  const size_t start = argument.find_first_not_of('-');
  const size_t equals = argument.find('=');
  flag.has_value = equals != std::string::npos;
  flag.name = argument.substr(start, equals - start);
  flag.value = flag.has_value ? argument.substr(equals + 1) : "";
  return flag;
}

// Sets the flag at argv[i]. Returns the number of arguments consumed.
int ReadFlag(const ProgramInfo& program, int argc, char** argv, int i) {
  const std::string argument = argv[i];
  const FlagArgument flag = SplitFlag(argument);
  gflags::CommandLineFlagInfo info;
  if (FindOwnFlag(program, flag.name, &info)) {
    if (flag.has_value) {
      SetFlag(program, flag.name, flag.value, "--" + flag.name);
      return 1;
    }
    if (info.type == "bool") {
      SetFlag(program, flag.name, "true", "--" + flag.name);
      return 1;
    }
    if (i + 1 >= argc) {
      FailUsage(program, "--" + flag.name + " needs a value");
    }
    SetFlag(program, flag.name, argv[i + 1], "--" + flag.name);
    return 2;
  }
  const bool negated = flag.name.rfind("no", 0) == 0 && !flag.has_value;
  if (negated && FindOwnFlag(program, flag.name.substr(2), &info) &&
      info.type == "bool") {
    SetFlag(program, flag.name.substr(2), "false", "--" + flag.name);
    return 1;
  }
  FailUsage(program, "unknown setting " + argument + "; see --help");
}

std::string AddressError(const std::string& flag, const std::string& text) {
  return "--" + flag + ": '" + text + "' is not IP:PORT";
}

}  // namespace

void FailUsage(const ProgramInfo& program, const std::string& message) {
  std::cerr << program.name << ": " << message << "\n";
  std::exit(kExitUsage);
}

std::string ReadFileOrFail(const ProgramInfo& program,
                           const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    FailUsage(program, "cannot read '" + path + "'");
  }
  return text.str();
}

void WriteFileOrFail(const ProgramInfo& program,
                     const std::string& path,
                     const std::string& text) {
  std::ofstream file(path);
  file << text;
  if (!file.flush()) {
    FailUsage(program, "cannot write '" + path + "'");
  }
}

std::vector<std::string> SplitList(const std::string& text) {
  const Poco::StringTokenizer parts(
      text, ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  return {parts.begin(), parts.end()};
}

std::vector<std::string> AddressesOrFail(const ProgramInfo& program,
                                         const std::string& flag,
                                         const std::string& text) {
  std::vector<std::string> addresses = SplitList(text);
  for (const std::string& address : addresses) {
    if (!IsAddress(address)) {
      FailUsage(program, AddressError(flag, address));
    }
  }
  return addresses;
}

std::vector<std::string> ReadSettings(const ProgramInfo& program,
                                      int argc,
                                      char** argv) {
  std::vector<std::string> positional;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument == "--help" || argument == "-h") {
      PrintHelp(program);
      std::exit(kExitOk);
    }
    if (argument == "--version") {
      std::cout << program.name << " " << ProductVersion() << " source "
                << SourceDigest() << "\n";
      std::exit(kExitOk);
    }
  }
  ReadVariables(program);
  for (int i = 1; i < argc;) {
    const std::string argument = argv[i];
    if (argument.size() > 2 && argument.rfind("--", 0) == 0) {
      i += ReadFlag(program, argc, argv, i);
      continue;
    }
    if (argument.size() > 1 && argument[0] == '-') {
      FailUsage(program, "unknown setting " + argument + "; see --help");
    }
    positional.push_back(argument);
    ++i;
  }
  return positional;
}

bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  unsigned port = 0;
  Poco::Net::IPAddress ip;
  // Both parsers also accept other spellings, such as "10.1" and "+80".
  return Poco::NumberParser::tryParseUnsigned(text.substr(colon + 1), port) &&
         port > 0 && port <= 65535 &&
         Poco::Net::IPAddress::tryParse(text.substr(0, colon), ip) &&
         ip.family() == Poco::Net::IPAddress::IPv4 &&
         ip.toString() + ':' + std::to_string(port) == text;
}

}  // namespace goldcrest
