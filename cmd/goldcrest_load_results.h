#ifndef CMD_GOLDCREST_LOAD_RESULTS_H_
#define CMD_GOLDCREST_LOAD_RESULTS_H_

// What a load run found, and how it is written.
//
// The response ratio is the response time over the ideal: one caller round trip
// and the longer of the longest task and the job's work spread over the slots
// of its domain. Response times count from when a submission was due.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cmd/goldcrest_load_trace.h"
#include "goldcrest/time_units.h"

namespace goldcrest {

// One submission and what became of it.
struct Sent {
  const TraceLine* line = nullptr;
  std::string id;
  std::string body;
  Micros due = 0;
  bool answered = false;
  int status = 0;
  double response_ms = 0;
  std::string code_name;  // of an answer other than 200
};

// What the ideal and the goodput are worked out from.
struct IdealOptions {
  double round_trip_ms = 1;
  int domain_slots = 1;
  int all_slots = 1;
};

struct Results {
  std::map<std::string, std::vector<double>> ratios;  // by class
  std::map<std::string, int> refusals;                // by code name
  std::map<std::string, double> counters;             // summed over daemons
  std::set<int64_t> refused_minutes;                  // since the epoch
  int submitted = 0;
  int complete = 0;
  int failed = 0;
  int refused = 0;
  int unknown = 0;
  int lost = 0;
  double tasks = 0;
  // Work of the jobs that were answered whole before the last arrival, as a
  // share of what all slots can do in that time.
  double goodput = 0;
};

// Adds up what became of `sent`; `length_ms` is the time of the last arrival.
Results MakeResults(const std::vector<Sent>& sent,
                    const IdealOptions& options,
                    double length_ms);

// Returns the value below which a share `q` of `values` lies.
double Quantile(std::vector<double> values, double q);

std::string ResultsText(const Results& results);
std::string ResultsJson(const Results& results);

// Plots the distribution of the ratio: quantile across, ratio up to 3.
std::string ResultsSvg(const Results& results);

// One line of tab-separated fields for each submission, with a heading.
std::string SubmissionsText(const std::vector<Sent>& sent,
                            const IdealOptions& options);

}  // namespace goldcrest

#endif  // CMD_GOLDCREST_LOAD_RESULTS_H_
