#ifndef CMD_GOLDCREST_LOAD_RESULTS_H_
#define CMD_GOLDCREST_LOAD_RESULTS_H_

// Computes and formats the results of a load run.
//
// The response ratio is the response time divided by the ideal time: one caller
// round trip plus the longest task, or plus the total work of the job divided
// by the slots of its domain if that is longer. Response times are measured
// from the scheduled time of a submission.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cmd/goldcrest_load_trace.h"
#include "goldcrest/time_units.h"

namespace goldcrest {

// One submission and its outcome.
struct SentSubmission {
  const TraceLine* line = nullptr;  // owned by the trace
  std::string id;
  std::string body;
  Micros scheduled_at = 0;  // scheduled time, on the monotonic clock
  bool answered = false;
  int status = 0;  // HTTP status of the answer
  double response_ms = 0;
  std::string code_name;  // result code of an answer other than 200
};

// Parameters of the ideal time and the goodput.
struct IdealOptions {
  double round_trip_ms = 1;
  int domain_slots = 1;  // in each failure domain
  int all_slots = 1;
};

// The results of a load run.
struct LoadResults {
  // Response ratios by kind, and of jobs with a single or with many tasks.
  std::map<std::string, std::vector<double>> ratios;
  std::map<std::string, int> refusals;     // by result code
  std::map<std::string, double> counters;  // summed over daemons
  std::set<int64_t> refused_minutes;       // minutes since the epoch
  int submitted = 0;
  int complete = 0;
  int failed = 0;
  int refused = 0;
  int unknown = 0;
  int unanswered = 0;  // without an answer
  double tasks = 0;
  // Work of the jobs that completed before the last arrival, as a share of the
  // capacity of all slots in that time.
  double goodput = 0;
};

// Summarizes the outcomes of `sent`. `length_ms` is the time of the last
// arrival.
LoadResults MakeResults(const std::vector<SentSubmission>& sent,
                        const IdealOptions& options,
                        double length_ms);

// Returns the quantile `q`, from 0 to 1, of `values` (the nearest rank), or 0
// if `values` is empty.
double Quantile(std::vector<double> values, double q);

// Formats the results as text for a terminal.
std::string ResultsText(const LoadResults& results);

// Formats the results as one JSON object.
std::string ResultsJson(const LoadResults& results);

// Plots the distribution of the response ratio as SVG: quantiles on the x axis,
// ratios from 1 to 3 on the y axis.
std::string ResultsSvg(const LoadResults& results);

// Formats one line of tab-separated fields per submission, after a heading.
std::string SubmissionsText(const std::vector<SentSubmission>& sent,
                            const IdealOptions& options);

}  // namespace goldcrest

#endif  // CMD_GOLDCREST_LOAD_RESULTS_H_
