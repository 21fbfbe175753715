// goldcrestctl: the operator's command-line tool.

#include <iostream>
#include <optional>
#include <sstream>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <gflags/gflags.h>

#include "edge/blocking_http.h"
#include "edge/settings.h"
#include "goldcrest/configuration.h"
#include "report/explain.h"

DEFINE_string(server, "127.0.0.1:8080", "IP:PORT of an entry VM.");
DEFINE_int64(if_version, -1, "Version that `apply` requires to be in force.");
DEFINE_uint64(timeout_ms, 10000, "Timeout of a request, in milliseconds.");

namespace goldcrest {
namespace {

const ProgramInfo kProgram = {
    "goldcrestctl",
    "Checks, applies and shows the configuration, shows or drains an entry VM, "
    "and prints the timeline of one job from the daemons' logs. Exits with 0 "
    "for success, 1 for a refusal or failure, 2 for an invalid command line.",
    "goldcrestctl check FILE\n"
    "  goldcrestctl apply FILE --if_version N\n"
    "  goldcrestctl show | status | drain\n"
    "  goldcrestctl explain JOB_ID LOG_FILE...",
    "goldcrestctl.cc",
};

// Sends one request. Prints the error and returns nothing if there is no
// answer.
std::optional<BlockingResponse> SendRequest(const std::string& method,
                                            const std::string& path,
                                            const std::string& body) {
  BlockingRequest options;
  options.server = FLAGS_server;
  options.method = method;
  options.path = path;
  options.body = body;
  options.timeout_ms = static_cast<int64_t>(FLAGS_timeout_ms);
  if (method == "PUT") {
    options.if_match = "\"" + std::to_string(FLAGS_if_version) + "\"";
  }
  const auto answer = SendBlockingRequest(options);
  if (!answer) {
    std::cerr << "goldcrestctl: " << answer.error() << "\n";
    return std::nullopt;
  }
  return *answer;
}

// Prints `text` as indented JSON, or unchanged if it is not valid JSON.
void PrintJson(std::ostream& out, const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    Poco::JSON::Stringifier::stringify(parser.parse(text), out, 2);
    out << "\n";
  } catch (const Poco::Exception&) {
    out << text << "\n";
  }
}

void PrintErrors(const std::string& path, const FieldErrors& errors) {
  for (const FieldError& error : errors) {
    std::cerr << path << ": " << (error.field.empty() ? "" : error.field + ": ")
              << error.message << "\n";
  }
}

int CheckFile(const std::string& path) {
  const auto configuration = ParseConfiguration(ReadFileOrFail(kProgram, path));
  if (!configuration) {
    PrintErrors(path, configuration.error());
    return kExitFailure;
  }
  std::cout << path << ": valid, digest " << ConfigurationDigest(*configuration)
            << "\n";
  return kExitOk;
}

int ApplyFile(const std::string& path) {
  if (FLAGS_if_version < 0) {
    FailUsage(kProgram, "apply needs --if_version, the version in force");
  }
  const auto configuration = ParseConfiguration(ReadFileOrFail(kProgram, path));
  if (!configuration) {
    PrintErrors(path, configuration.error());
    return kExitFailure;
  }
  const auto answer = SendRequest("PUT", "/v1/configuration",
                                  ConfigurationJson(*configuration));
  if (!answer) {
    std::cerr << "goldcrestctl: it is unknown whether the change was accepted; "
                 "repeat the command\n";
    return kExitFailure;
  }
  PrintJson(answer->status == 200 ? std::cout : std::cerr, answer->body);
  return answer->status == 200 ? kExitOk : kExitFailure;
}

// Sends one request without a body and prints the answer.
int SendAndPrint(const std::string& method, const std::string& path) {
  const auto answer = SendRequest(method, path, "");
  if (!answer) {
    return kExitFailure;
  }
  const bool ok = answer->status >= 200 && answer->status < 300;
  PrintJson(ok ? std::cout : std::cerr, answer->body);
  return ok ? kExitOk : kExitFailure;
}

// Prints the timeline of one job from the log files. `words` is the whole
// command. Fails if the logs do not mention the job.
int ExplainJob(const std::vector<std::string>& words) {
  std::vector<std::string> lines;
  for (size_t i = 2; i < words.size(); ++i) {
    std::istringstream text(ReadFileOrFail(kProgram, words[i]));
    std::string line;
    while (std::getline(text, line)) {
      lines.push_back(line);
    }
  }
  const JobTimeline timeline = BuildJobTimeline(words[1], lines);
  std::cout << JobTimelineText(words[1], timeline);
  return timeline.rows.empty() ? kExitFailure : kExitOk;
}

int RunCommand(const std::vector<std::string>& words) {
  if (words.empty()) {
    FailUsage(kProgram, "missing command; see --help");
  }
  const std::string& command = words[0];
  if (words.size() == 2 && command == "check") {
    return CheckFile(words[1]);
  }
  if (words.size() == 2 && command == "apply") {
    return ApplyFile(words[1]);
  }
  if (words.size() == 1 && command == "show") {
    return SendAndPrint("GET", "/v1/configuration");
  }
  if (words.size() == 1 && command == "status") {
    return SendAndPrint("GET", "/v1/status");
  }
  if (words.size() == 1 && command == "drain") {
    return SendAndPrint("POST", "/v1/drain");
  }
  if (words.size() >= 3 && command == "explain") {
    return ExplainJob(words);
  }
  FailUsage(kProgram, "unknown command '" + command + "'; see --help");
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  const auto words = goldcrest::ReadSettings(goldcrest::kProgram, argc, argv);
  if (!goldcrest::IsAddress(FLAGS_server)) {
    goldcrest::FailUsage(goldcrest::kProgram,
                         "--server: '" + FLAGS_server + "' is not IP:PORT");
  }
  return goldcrest::RunCommand(words);
}
