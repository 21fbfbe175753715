// goldcrest_burn: reports how fast the kinds spend their error budgets.

#include <chrono>
#include <iostream>
#include <thread>

#include <gflags/gflags.h>

#include "edge/blocking_http.h"
#include "edge/settings.h"
#include "report/burn.h"
#include "report/burn_page.h"
#include "report/burn_text.h"
#include "report/snapshot.h"
#include "report/snapshot_folder.h"

DEFINE_string(entry, "", "Entry VMs to query for metrics, as IP:PORT,...");
DEFINE_string(snapshots, "", "Folder of saved snapshots.");
DEFINE_bool(save, false, "Save the metrics of the entry VMs to --snapshots.");
DEFINE_int32(rounds, 1, "Number of queries before the report. 0: unlimited.");
DEFINE_int32(every_s, 60, "Time between two queries, in seconds.");
DEFINE_int32(keep_days,
             31,
             "With --save: age in days at which snapshots are removed.");
DEFINE_string(format, "text", "text, json or html.");
DEFINE_string(output, "", "File for the report. Empty: standard output.");
DEFINE_string(
    fail_on,
    "",
    "Exit with 1 at this alert or a more severe one: ticket or page.");
DEFINE_uint64(timeout_ms, 3000, "Timeout of one query, in milliseconds.");

namespace goldcrest {
namespace {

const ProgramInfo kProgram = {
    "goldcrest_burn",
    "Reports how fast each kind spends its error budget, and the minutes in "
    "which requests were refused, from the metrics of entry VMs and from saved "
    "snapshots. Exits with 0 after a report, 1 if there are no snapshots or an "
    "alert reaches --fail_on, 2 for an invalid command line.",
    "goldcrest_burn --entry IP:PORT,... [--snapshots FOLDER --save]\n"
    "  goldcrest_burn --snapshots FOLDER --format html --output FILE",
    "goldcrest_burn.cc",
};

constexpr int64_t kDayMs = 24 * 60 * kMinuteMs;

// A report format and its value of --format.
struct FormatRow {
  std::string_view name;
  std::string (*write)(const BurnReport&);
};

constexpr FormatRow kFormats[] = {
    {"text", BurnText},
    {"json", BurnJson},
    {"html", BurnPage},
};

void Warn(const std::string& message) {
  std::cerr << kProgram.name << ": " << message << "\n";
}

const FormatRow& FormatOrFail() {
  for (const FormatRow& row : kFormats) {
    if (row.name == FLAGS_format) {
      return row;
    }
  }
  FailUsage(kProgram,
            "--format: '" + FLAGS_format + "' is not text, json or html");
}

// Returns the least severe alert that makes the program exit with 1, or nothing
// if no alert does.
std::optional<BurnAlert> FailingAlertOrFail() {
  if (FLAGS_fail_on.empty()) {
    return std::nullopt;
  }
  for (const BurnAlert alert : {BurnAlert::kTicket, BurnAlert::kPage}) {
    if (ToString(alert) == FLAGS_fail_on) {
      return alert;
    }
  }
  FailUsage(kProgram,
            "--fail_on: '" + FLAGS_fail_on + "' is not ticket or page");
}

void CheckSettings() {
  if (FLAGS_entry.empty() && FLAGS_snapshots.empty()) {
    FailUsage(kProgram, "--entry, --snapshots or both are required");
  }
  if (FLAGS_save && (FLAGS_entry.empty() || FLAGS_snapshots.empty())) {
    FailUsage(kProgram, "--save needs --entry and --snapshots");
  }
  if (FLAGS_rounds < 0 || FLAGS_every_s < 1 || FLAGS_keep_days < 1) {
    FailUsage(
        kProgram,
        "--rounds must be at least 0, --every_s and --keep_days at least 1");
  }
  if (FLAGS_rounds == 0 && !FLAGS_save) {
    FailUsage(kProgram, "--rounds 0 needs --save");
  }
}

// Queries the metrics of one entry VM, and saves them with --save. Prints a
// warning and returns nothing if the query fails.
std::optional<Snapshot> QuerySnapshot(const std::string& entry) {
  BlockingRequest options;
  options.server = entry;
  options.path = "/metrics";
  options.timeout_ms = static_cast<int64_t>(FLAGS_timeout_ms);
  const auto answer = SendBlockingRequest(options);
  if (!answer) {
    Warn(answer.error());
    return std::nullopt;
  }
  auto snapshot = ReadSnapshot(answer->body);
  if (!snapshot) {
    Warn(entry + ": " + snapshot.error());
    return std::nullopt;
  }
  if (FLAGS_save) {
    const auto saved = SaveSnapshot(FLAGS_snapshots, *snapshot, answer->body);
    if (!saved) {
      Warn(saved.error());
    }
    RemoveOldSnapshots(FLAGS_snapshots,
                       snapshot->wall_ms - FLAGS_keep_days * kDayMs);
  }
  return std::move(*snapshot);
}

// Queries all entry VMs --rounds times. With --save, returns nothing: the
// snapshots are read from the folder instead.
std::vector<Snapshot> QuerySnapshots() {
  std::vector<Snapshot> snapshots;
  const std::vector<std::string> entries =
      AddressesOrFail(kProgram, "entry", FLAGS_entry);
  for (int round = 0; FLAGS_rounds == 0 || round < FLAGS_rounds; ++round) {
    if (round > 0) {
      std::this_thread::sleep_for(std::chrono::seconds(FLAGS_every_s));
    }
    for (const std::string& entry : entries) {
      auto snapshot = QuerySnapshot(entry);
      if (snapshot && !FLAGS_save) {
        snapshots.push_back(std::move(*snapshot));
      }
    }
  }
  return snapshots;
}

// Returns the queried snapshots and those of the folder.
std::vector<Snapshot> CollectSnapshots() {
  std::vector<Snapshot> snapshots = QuerySnapshots();
  if (FLAGS_snapshots.empty()) {
    return snapshots;
  }
  auto folder = ReadSnapshotFolder(FLAGS_snapshots);
  if (!folder) {
    Warn(folder.error());
    return snapshots;
  }
  for (const std::string& error : folder->errors) {
    Warn("skipped " + error);
  }
  for (Snapshot& snapshot : folder->snapshots) {
    snapshots.push_back(std::move(snapshot));
  }
  return snapshots;
}

int RunBurn(int argc, char** argv) {
  const auto rest = ReadSettings(kProgram, argc, argv);
  if (!rest.empty()) {
    FailUsage(kProgram, "unexpected argument '" + rest.front() + "'");
  }
  CheckSettings();
  const FormatRow& format = FormatOrFail();
  const std::optional<BurnAlert> failing_alert = FailingAlertOrFail();
  std::vector<Snapshot> snapshots = CollectSnapshots();
  if (snapshots.empty()) {
    Warn("no snapshots to report on");
    return kExitFailure;
  }
  const BurnReport report = MakeBurnReport(std::move(snapshots), BurnOptions());
  const std::string text = format.write(report);
  if (FLAGS_output.empty()) {
    std::cout << text;
  } else {
    WriteFileOrFail(kProgram, FLAGS_output, text);
  }
  const bool failed =
      failing_alert && MostSevereAlert(report) >= *failing_alert;
  return failed ? kExitFailure : kExitOk;
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  return goldcrest::RunBurn(argc, argv);
}
