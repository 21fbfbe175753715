// The operator's command line.

#include <iostream>
#include <optional>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <gflags/gflags.h>

#include "edge/settings.h"
#include "goldcrest/configuration.h"

DEFINE_string(server, "127.0.0.1:8080", "IP:PORT of an entry VM.");
DEFINE_int64(if_version, -1, "Version that `apply` expects to be in force.");
DEFINE_uint64(timeout_ms, 10000, "Longest wait for an answer.");

namespace goldcrest {
namespace {

const ProgramInfo kProgram = {
    "goldcrestctl",
    "Checks, applies and shows the configuration, and shows or drains an entry "
    "VM. Exits with 0 for success, 1 for a refusal or failure, 2 for a wrong "
    "command line.",
    "goldcrestctl check FILE\n"
    "  goldcrestctl apply FILE --if_version N\n"
    "  goldcrestctl show | status | drain",
    "goldcrestctl.cc",
};

struct Answer {
  int status = 0;
  std::string body;
};

// Makes one request; nothing when no answer came.
std::optional<Answer> Ask(const std::string& method,
                          const std::string& path,
                          const std::string& body) {
  try {
    const Poco::Net::SocketAddress address(FLAGS_server);
    Poco::Net::HTTPClientSession session(address);
    session.setTimeout(
        Poco::Timespan(static_cast<Poco::Int64>(FLAGS_timeout_ms) * 1000));
    Poco::Net::HTTPRequest request(method, path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    if (method == "PUT") {
      request.set("If-Match", "\"" + std::to_string(FLAGS_if_version) + "\"");
    }
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    Answer answer;
    Poco::StreamCopier::copyToString(session.receiveResponse(response),
                                     answer.body);
    answer.status = static_cast<int>(response.getStatus());
    return answer;
  } catch (const Poco::Exception& error) {
    std::cerr << "goldcrestctl: no answer from " << FLAGS_server << ": "
              << error.displayText() << "\n";
    return std::nullopt;
  }
}

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

int Check(const std::string& path) {
  const auto configuration = ParseConfiguration(ReadFileOrFail(kProgram, path));
  if (!configuration) {
    PrintErrors(path, configuration.error());
    return kExitFailure;
  }
  std::cout << path << ": valid, digest " << ConfigurationDigest(*configuration)
            << "\n";
  return kExitOk;
}

int Apply(const std::string& path) {
  if (FLAGS_if_version < 0) {
    FailUsage(kProgram, "apply needs --if_version, the version in force");
  }
  const auto configuration = ParseConfiguration(ReadFileOrFail(kProgram, path));
  if (!configuration) {
    PrintErrors(path, configuration.error());
    return kExitFailure;
  }
  const auto answer =
      Ask("PUT", "/v1/configuration", ConfigurationJson(*configuration));
  if (!answer) {
    std::cerr << "goldcrestctl: not known whether the change was accepted; "
                 "send the same again\n";
    return kExitFailure;
  }
  PrintJson(answer->status == 200 ? std::cout : std::cerr, answer->body);
  return answer->status == 200 ? kExitOk : kExitFailure;
}

int Show(const std::string& method, const std::string& path) {
  const auto answer = Ask(method, path, "");
  if (!answer) {
    return kExitFailure;
  }
  const bool ok = answer->status >= 200 && answer->status < 300;
  PrintJson(ok ? std::cout : std::cerr, answer->body);
  return ok ? kExitOk : kExitFailure;
}

int RunCommand(const std::vector<std::string>& words) {
  if (words.empty()) {
    FailUsage(kProgram, "no command; see --help");
  }
  const std::string& command = words[0];
  if (words.size() == 2 && command == "check") {
    return Check(words[1]);
  }
  if (words.size() == 2 && command == "apply") {
    return Apply(words[1]);
  }
  if (words.size() == 1 && command == "show") {
    return Show("GET", "/v1/configuration");
  }
  if (words.size() == 1 && command == "status") {
    return Show("GET", "/v1/status");
  }
  if (words.size() == 1 && command == "drain") {
    return Show("POST", "/v1/drain");
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
