// Jobs run on workers of another service than that of their route, after a
// configuration in which two routes have the same name.

#include <exception>
#include <iostream>
#include <string>

#include "review/standins-2/testing/deployment.h"

namespace goldcrest {
namespace {

constexpr char kProofService[] = "engraver";
constexpr char kProofPrefix[] = "/proofs/";
constexpr int kJobs = 10;
constexpr int64_t kRunMs = 100;
constexpr int64_t kTimeoutMs = 1500;
// The bound of the rules for a configuration to be in force.
constexpr Micros kConfigApply = 2 * kSecond;

int Play(int argc, char** argv) {
  const bool trouble = Argument(argc, argv, "trouble", "1") != "0";
  DeploymentOptions options;
  options.root = Argument(argc, argv, "root", ".");
  options.folder = Argument(argc, argv, "folder", "");
  options.record = Argument(argc, argv, "record", "record.txt");
  options.services = {kService, kProofService};
  options.routes = {{"r-orders", kPrefix, kService}};
  Deployment deployment(options);
  if (!deployment.Start()) {
    return kCouldNotRun;
  }
  const bool acknowledged = deployment.Configure(
      8, {{"r-orders", kPrefix, kService},
          {trouble ? "r-orders" : "r-proofs", kProofPrefix, kProofService}});
  if (!acknowledged) {
    deployment.record().Write("the configuration was not acknowledged");
    return trouble ? kRuleHeld : kCouldNotRun;
  }
  deployment.Run(2 * kConfigApply);
  int wrong = 0;
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "00000000000000" + std::to_string(20 + i);
    const Answer& answer =
        deployment.Submit(deployment.entry(static_cast<size_t>(i) % 3), id,
                          kRunMs, kTimeoutMs, kProofPrefix);
    deployment.RunUntil(2 * kSecond, [&] { return answer.done; });
    for (const std::string& service : deployment.ServicesThatStarted(id)) {
      deployment.record().Write("job " + std::string(kProofPrefix) + id +
                                " ran on a worker of the service " + service);
      wrong += service != kProofService ? 1 : 0;
    }
  }
  if (wrong > 0) {
    deployment.record().Write("ROUTE is broken");
  }
  return wrong > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  try {
    return goldcrest::Play(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return goldcrest::kCouldNotRun;
  }
}
