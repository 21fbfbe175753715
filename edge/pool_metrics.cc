#include "edge/pool_metrics.h"

#include <algorithm>
#include <set>
#include <vector>

#include "edge/logging.h"
#include "edge/metrics_text.h"
#include "edge/socket_loop.h"
#include "goldcrest/json_reader.h"
#include "pool/mesh/message_kind.h"
#include "pool/placement/task_requirements.h"
#include "pool/workers/crash_limit.h"
#include "pool/workers/worker_profile.h"

namespace goldcrest {
namespace {

// Bounds the memory: observations of further series are not recorded.
constexpr size_t kMaxSeries = 2000;
constexpr double kShortestSeconds = 0.005;
constexpr double kLongestSeconds = 30;

// Iterations of the event loop, and how long it read nothing.
void AppendLoopDelays(std::string& text, const LoopDelays& delays) {
  AppendMetric(text, "loop_iterations_total", "counter",
               std::to_string(delays.iterations));
  AppendMetric(text, "loop_delays_total", "counter",
               std::to_string(delays.delayed));
  AppendMetric(text, "loop_busy_seconds_total", "counter",
               Seconds(delays.busy));
  AppendMetric(text, "loop_longest_iteration_seconds", "gauge",
               Seconds(delays.longest));
}

// Workers that were lost, and what their tasks had to do with it.
void AppendCrashes(std::string& text, const PoolBoard& board) {
  const PoolCounters& counters = board.counters;
  AppendByLabel(text, "worker_losses_total", "cause", counters.worker_losses);
  AppendMetric(text, "task_crashes_total", "counter",
               std::to_string(counters.task_crashes));
  AppendMetric(text, "tasks_given_up_total", "counter",
               std::to_string(counters.tasks_given_up));
  AppendMetric(text, "crashes_withdrawn_total", "counter",
               std::to_string(counters.crashes_withdrawn));
  AppendMetric(text, "crash_limit_refusals_total", "counter",
               std::to_string(counters.crash_limit_refusals));
  AppendMetric(text, "crashed_workers_away", "gauge",
               std::to_string(board.crashes.away.size()));
}

// Capacity that cannot be used, and waiting tasks that may not use what is
// free.
void AppendUnusableCapacity(std::string& text,
                            const PoolBoard& board,
                            Micros now) {
  const UnusableCpu unusable = CountUnusableCpu(board, now);
  AppendType(text, "unusable_cpu_millis", "gauge");
  for (const auto& [obstacle, cpu_millis] : unusable.idle) {
    AppendValue(text, "unusable_cpu_millis",
                "{reason=" + JsonQuote(std::string(ToString(obstacle))) + "}",
                std::to_string(cpu_millis));
  }
  AppendMetric(text, "silent_runs_cpu_millis", "gauge",
               std::to_string(unusable.silent_runs));
  AppendMetric(text, "orphaned_runs", "gauge",
               std::to_string(board.orphans.size()));
  AppendMetric(text, "runs_elsewhere", "gauge",
               std::to_string(board.open_run_news.elsewhere.size()));
  const std::set<std::string> limited = CrashLimitedQueues(board, now);
  const auto tasks = std::count_if(
      board.waiting.begin(), board.waiting.end(), [&](const auto& entry) {
        return limited.contains(entry.second.job->order.queue());
      });
  AppendMetric(text, "crash_limited_queues", "gauge",
               std::to_string(limited.size()));
  AppendMetric(text, "crash_limited_tasks", "gauge", std::to_string(tasks));
  AppendMetric(text, "workers_refused_total", "counter",
               std::to_string(board.counters.workers_refused));
  AppendMetric(text, "known_workers", "gauge",
               std::to_string(board.workers.size()));
}

// What this daemon knows of each control daemon, and that one of it.
void AppendControlMembers(std::string& text, const Mesh& mesh, Micros now) {
  std::string echo_ages;
  AppendType(text, "control_heartbeat_age_seconds", "gauge");
  for (const auto& [address, member] : mesh.members) {
    if (!member.last_heartbeat.control() || member.last_heartbeat_at == 0) {
      continue;
    }
    const std::string labels = "{address=" + JsonQuote(address) + "}";
    AppendValue(text, "control_heartbeat_age_seconds", labels,
                Seconds(now - member.last_heartbeat_at));
    if (const auto echo_age = EchoAge(mesh, member, now)) {
      AppendValue(echo_ages, "control_echo_age_seconds", labels,
                  Seconds(*echo_age));
    }
  }
  AppendType(text, "control_echo_age_seconds", "gauge");
  text += echo_ages;
}

void AppendReleasedWorkers(std::string& text, const PoolBoard& board) {
  AppendMetric(text, "workers_released_total", "counter",
               std::to_string(board.counters.handovers_begun));
}

// Appends the metrics that entry and control daemons have in common: log losses
// and the mesh.
void AppendMesh(std::string& text, const Mesh& mesh, const MeshLink& link) {
  const Micros now = ReadBootClock().mono;
  const LogLosses losses = CountLogLosses();
  AppendMetric(text, "log_lines_limited_total", "counter",
               std::to_string(losses.rate_limited));
  AppendMetric(text, "log_lines_dropped_total", "counter",
               std::to_string(losses.dropped));
  AppendMetric(text, "mesh_sent_bytes_total", "counter",
               std::to_string(link.bytes_sent()));
  AppendMetric(text, "mesh_received_bytes_total", "counter",
               std::to_string(link.bytes_received()));
  AppendMetric(text, "mesh_dropped_messages_total", "counter",
               std::to_string(link.messages_dropped()));
  AppendMetric(text, "mesh_dials_total", "counter",
               std::to_string(link.dials()));
  std::map<std::string, uint64_t> sent;
  for (const auto& [kind, count] : link.messages_sent()) {
    sent[MessageKindName(kind)] += count;
  }
  AppendByLabel(text, "mesh_sent_messages_total", "kind", sent);
  AppendControlMembers(text, mesh, now);
  AppendType(text, "mesh_member_heard_age_seconds", "gauge");
  for (const auto& [address, member] : mesh.members) {
    if (member.last_received_at != 0) {
      AppendValue(text, "mesh_member_heard_age_seconds",
                  "{address=" + JsonQuote(address) + "}",
                  Seconds(now - member.last_received_at));
    }
  }
}

// Appends the orders that must arrive, and what was found when workers were
// asked whether their process had ended.
void AppendOrders(std::string& text, const PoolBoard& board) {
  AppendMetric(text, "unanswered_orders", "gauge",
               std::to_string(board.unanswered.by_number.size()));
  AppendMetric(text, "unanswered_order_bytes", "gauge",
               std::to_string(board.unanswered.bytes));
  AppendMetric(text, "orders_repeated_total", "counter",
               std::to_string(board.unanswered.repeated));
  AppendMetric(text, "orders_dropped_total", "counter",
               std::to_string(board.unanswered.dropped));
  AppendMetric(text, "process_end_claims_refuted_total", "counter",
               std::to_string(board.counters.claims_refuted));
  AppendMetric(text, "unknown_runs_total", "counter",
               std::to_string(board.counters.unknown_runs));
  AppendMetric(text, "runs_announced_total", "counter",
               std::to_string(board.counters.runs_announced));
  AppendMetric(text, "run_news_dropped_total", "counter",
               std::to_string(board.counters.run_news_dropped));
  AppendMetric(text, "starts_bound_total", "counter",
               std::to_string(board.counters.starts_bound));
  AppendMetric(text, "start_bindings", "gauge",
               std::to_string(board.start_bindings.size()));
  AppendMetric(text, "start_bindings_dropped_total", "counter",
               std::to_string(board.counters.bindings_dropped));
  AppendMetric(text, "invariant_failures_total", "counter",
               std::to_string(board.counters.invariant_failures));
}

// Appends a summary of the workers' profiles, if they are learned.
void AppendProfiles(std::string& text, const PoolBoard& board) {
  if (!board.options.features.run_times_by_worker) {
    return;
  }
  const ProfileSummary summary = SummarizeProfiles(board);
  AppendMetric(text, "profiled_workers", "gauge",
               std::to_string(summary.workers));
  AppendMetric(text, "run_time_factor_smallest", "gauge",
               std::to_string(summary.smallest));
  AppendMetric(text, "run_time_factor_median", "gauge",
               std::to_string(summary.median));
  AppendMetric(text, "run_time_factor_largest", "gauge",
               std::to_string(summary.largest));
  AppendMetric(text, "workers_marked_slow_total", "counter",
               std::to_string(board.counters.workers_marked_slow));
  AppendMetric(text, "profiles_adopted_total", "counter",
               std::to_string(board.counters.profiles_adopted));
}

// The elections in which this daemon was a candidate, the changes of the
// configuration that it answered, and how long its disk presumably takes.
void AppendElections(std::string& text,
                     const Agreement& agreement,
                     Micros now) {
  std::map<std::string, uint64_t> elections;
  for (const auto& [result, count] : agreement.election.results) {
    elections[std::string(ToString(result))] = count;
  }
  AppendByLabel(text, "elections_total", "result", elections);
  std::map<std::string, uint64_t> changes;
  for (const auto& [end, count] : agreement.change_ends) {
    changes[std::string(ToString(end))] = count;
  }
  AppendByLabel(text, "configuration_changes_total", "end", changes);
  AppendMetric(text, "disk_expected_write_seconds", "gauge",
               Seconds(WriteTimeOf(agreement, now)));
}

// Returns the outcome's name without its enum prefix, for use as a label.
std::string OutcomeName(wire::JobFate fate) {
  std::string name = wire::JobFate_Name(fate);
  return name.substr(name.find('_') + 1);
}

}  // namespace

void EntryMetrics::Observe(const JobObservation& observation) {
  const std::pair key(observation.queue, OutcomeName(observation.fate));
  if (series_.size() >= kMaxSeries && !series_.contains(key)) {
    return;
  }
  const auto series =
      series_.try_emplace(key, kShortestSeconds, kLongestSeconds).first;
  series->second.Observe(static_cast<double>(observation.duration) /
                         static_cast<double>(kSecond));
}

std::string EntryMetrics::Text(const EntryBoard& board,
                               const MeshLink& link,
                               const LoopDelays& delays) const {
  std::string text;
  AppendLoopDelays(text, delays);
  AppendMetric(text, "jobs_received_total", "counter",
               std::to_string(board.counters.received));
  AppendMetric(text, "requests_held_total", "counter",
               std::to_string(board.counters.requests_held));
  AppendMetric(text, "jobs_moved_total", "counter",
               std::to_string(board.counters.moved));
  AppendMetric(text, "jobs_held_total", "counter",
               std::to_string(board.counters.held));
  AppendMetric(text, "standbys_total", "counter",
               std::to_string(board.pool.counters.standbys));
  AppendReleasedWorkers(text, board.pool);
  AppendOrders(text, board.pool);
  AppendByLabel(text, "jobs_answered_total", "outcome",
                board.counters.answered);
  AppendMetric(text, "jobs_pending", "gauge",
               std::to_string(board.pending.size()));
  AppendMetric(text, "configuration_version", "gauge",
               std::to_string(board.routing.version()));
  AppendMetric(text, "standby", "gauge", board.pool.standby ? "1" : "0");
  AppendMesh(text, board.pool.mesh, link);
  AppendType(text, "job_response_seconds", "histogram");
  for (const auto& [key, series] : series_) {
    series.AppendTo(
        text, "job_response_seconds",
        "queue=" + JsonQuote(key.first) + ",outcome=" + JsonQuote(key.second));
  }
  return text;
}

std::string ControlMetricsText(const PoolBoard& board,
                               const MeshLink& link,
                               const LoopDelays& delays) {
  const Micros now = ReadBootClock().mono;
  std::string text;
  AppendLoopDelays(text, delays);
  AppendMetric(text, "jobs_received_total", "counter",
               std::to_string(board.counters.jobs_received));
  AppendMetric(text, "jobs_forwarded_total", "counter",
               std::to_string(board.counters.jobs_forwarded));
  AppendByLabel(text, "jobs_ended_total", "fate", board.counters.jobs_ended);
  AppendByLabel(text, "overload_refusals_total", "reason",
                board.counters.overload_refusals);
  AppendCrashes(text, board);
  AppendOrders(text, board);
  AppendByLabel(text, "worker_orders_total", "outcome",
                board.counters.order_outcomes);
  AppendByLabel(text, "runs_ended_total", "end", board.counters.attempt_ends);
  AppendMetric(text, "starts_total", "counter",
               std::to_string(board.counters.starts));
  AppendMetric(text, "starts_ahead_total", "counter",
               std::to_string(board.counters.starts_ahead));
  AppendMetric(text, "plan_reservations_total", "counter",
               std::to_string(board.counters.reservations));
  AppendMetric(text, "plans_total", "counter",
               std::to_string(board.counters.plans));
  AppendMetric(text, "plans_over_budget_total", "counter",
               std::to_string(board.counters.plans_over_budget));
  AppendMetric(text, "settles_total", "counter",
               std::to_string(board.counters.reconciliations));
  AppendMetric(text, "ejections_total", "counter",
               std::to_string(board.counters.ejections));
  AppendReleasedWorkers(text, board);
  AppendMetric(text, "jobs", "gauge", std::to_string(board.jobs.size()));
  AppendMetric(text, "waiting_tasks", "gauge",
               std::to_string(board.waiting.size()));
  AppendMetric(text, "ready_workers", "gauge",
               std::to_string(board.mesh.load.workers()));
  AppendMetric(text, "free_cpu_millis", "gauge",
               std::to_string(board.mesh.load.free_cpu_millis()));
  AppendUnusableCapacity(text, board, now);
  AppendMetric(text, "configuration_version", "gauge",
               std::to_string(board.agreement.committed.routing().version()));
  AppendMetric(text, "agreement_term", "gauge",
               std::to_string(board.agreement.stored.term()));
  AppendMetric(text, "agreement_leads", "gauge",
               board.agreement.role == AgreementRole::kLeader ? "1" : "0");
  AppendMetric(text, "agreement_has_quorum", "gauge",
               HasQuorum(board.agreement, now) ? "1" : "0");
  AppendElections(text, board.agreement, now);
  AppendMetric(text, "agreement_unstored_writes", "gauge",
               std::to_string(board.agreement.writes.newest_sequence -
                              board.agreement.writes.durable_sequence));
  AppendType(text, "worker_heard_age_seconds", "gauge");
  for (const auto& [id, worker] : board.workers) {
    if (worker.session != SessionState::kNone) {
      AppendValue(text, "worker_heard_age_seconds",
                  "{worker=" + JsonQuote(id) + "}",
                  Seconds(now - worker.last_received_at));
    }
  }
  AppendProfiles(text, board);
  AppendMesh(text, board.mesh, link);
  return text;
}

}  // namespace goldcrest
