#include "pool/workers/worker_profile.h"

#include <algorithm>
#include <cmath>

#include "pool/placement/task_requirements.h"
#include "pool/workers/run_times.h"

namespace goldcrest {
namespace {

// Standard deviation of a worker's log factor around the average of its kind,
// before anything is known of the worker.
constexpr double kPriorDeviation = 0.35;
// Standard deviation of the logarithm of (run time / estimate) of a job: the
// error of callers' estimates.
constexpr double kEstimateDeviation = 0.4;
// A worker's log factor may change between two samples by this standard
// deviation, so that a profile never becomes certain and an outdated one is
// replaced within about 20 samples.
constexpr double kChangeDeviation = 0.04;
// Larger deviations of a sample, in standard deviations, count as this many:
// jobs that take many times as long as estimated must not move a profile far.
constexpr double kMaxDeviation = 2;
// After this many consecutive samples that deviate by more than one standard
// deviation to the same side, the worker's speed has changed, and the profile
// is as uncertain as before the first sample.
constexpr int kSamplesOfChange = 4;
// Bounds of the log factors, which limit the effect of a wrong profile. They
// are the logarithms of 1/4 and 4.
constexpr double kMaxLogFactor = 1.386;
// Bounds of the variance of run times within a step, and weight of a new step
// in its average.
constexpr double kMinTaskVariance = 0.05 * 0.05;
constexpr double kMaxTaskVariance = 0.5 * 0.5;
constexpr double kTaskVarianceWeight = 0.02;
// A new step's variance counts at most as this multiple of the average.
constexpr double kMaxVarianceRatio = 4;
// Smallest weight of a new step in its queue's ratio.
constexpr double kMinQueueWeight = 0.05;
// Bound of the logarithm of a queue's ratio: callers' estimates may be wrong by
// an order of magnitude.
constexpr double kMaxLogRatio = 2.3;
// A kind's average counts each worker by its samples, up to this many.
constexpr uint32_t kMaxKindWeight = 10;
// Weight that remains of earlier work after each completed step.
constexpr double kWorkDecay = 0.998;
// Tasks whose expected run time is this much below the typical one (difference
// of the logarithms) are short.
constexpr double kShortTask = 0.5;
// Two speeds in the same interval of this width (in log factors) are equal for
// placement; it is about the error of a profile after 20 samples.
constexpr double kSpeedInterval = 0.15;
// A short task is placed on a slow worker only if this multiple of its expected
// run time there ends by its objective, since estimates are off by 0.4.
constexpr double kOnTimeMargin = 1.5;

double Square(double value) {
  return value * value;
}

double Mean(double sum, size_t count) {
  return sum / static_cast<double>(count);
}

double LogFactor(const PoolBoard& board, const PoolWorker& worker) {
  return std::log(ProfileFactor(board, worker));
}

// Applies to a profile a sample that deviates from it by `deviation`; the
// variance of the sample's own error is `sample_variance`.
void ApplySample(WorkerProfile& profile,
                 double deviation,
                 double sample_variance) {
  profile.variance += Square(kChangeDeviation);
  const double standard = std::sqrt(profile.variance + sample_variance);
  const int side = deviation > standard ? 1 : deviation < -standard ? -1 : 0;
  profile.same_side =
      side * profile.same_side > 0 ? profile.same_side + side : side;
  if (std::abs(profile.same_side) >= kSamplesOfChange) {
    profile.variance = std::max(profile.variance, Square(kPriorDeviation));
    profile.same_side = 0;
  }
  const double clipped = std::clamp(deviation, -kMaxDeviation * standard,
                                    kMaxDeviation * standard);
  const double gain = profile.variance / (profile.variance + sample_variance);
  profile.log_factor = std::clamp(profile.log_factor + gain * clipped,
                                  -kMaxLogFactor, kMaxLogFactor);
  profile.variance *= 1 - gain;
  ++profile.samples;
}

// Updates the average variance of run times within a step.
void LearnTaskVariance(const std::vector<ProfileSample>& samples,
                       double mean_residual,
                       double& task_variance) {
  double squares = 0;
  double profile_variance = 0;
  for (const ProfileSample& sample : samples) {
    squares +=
        Square(sample.log_ratio - sample.profile->log_factor - mean_residual);
    profile_variance += sample.profile->variance;
  }
  const double measured =
      std::clamp(Mean(squares, samples.size() - 1) -
                     Mean(profile_variance, samples.size()),
                 kMinTaskVariance, kMaxVarianceRatio * task_variance);
  task_variance += kTaskVarianceWeight * (measured - task_variance);
  task_variance = std::min(task_variance, kMaxTaskVariance);
}

// Returns whether this daemon orders the process of the worker from which the
// sample is. A profile that another daemon owns, or that of a later process, is
// not changed.
bool IsUsable(const PoolBoard& board, const RunTimeSample& sample) {
  const auto found = board.workers.find(sample.worker);
  return found != board.workers.end() && IsInPool(found->second) &&
         found->second.session != SessionState::kNone &&
         found->second.status.born_ms() == sample.born_ms;
}

// Returns one sample for each worker of the step that is still ordered by this
// daemon: the mean of its tasks, since they share the error of the estimate.
std::vector<ProfileSample> SamplesByWorker(PoolBoard& board,
                                           const PoolJobStep& step) {
  std::map<std::string, std::pair<double, size_t>> sums;
  for (const RunTimeSample& sample : step.samples) {
    if (IsUsable(board, sample)) {
      auto& [sum, count] = sums[sample.worker];
      sum += sample.log_ratio;
      ++count;
    }
  }
  std::vector<ProfileSample> samples;
  for (const auto& [id, sum] : sums) {
    PoolWorker& worker = board.workers.at(id);
    WorkerProfile& profile = worker.profile;
    if (profile.samples == 0) {
      profile.log_factor = LogFactor(board, worker);
      profile.variance = Square(kPriorDeviation);
    }
    samples.push_back({&profile, Mean(sum.first, sum.second)});
  }
  return samples;
}

void LearnQueueRatio(RunTimes& run_times,
                     const std::string& queue,
                     double deviation) {
  const uint32_t samples = ++run_times.queue_samples[queue];
  double& ratio = run_times.queue_ratio.try_emplace(queue, 1.0).first->second;
  const double weight = std::max(1.0 / (samples + 1), kMinQueueWeight);
  const double log_ratio = std::log(ratio);
  const double clipped =
      std::clamp(deviation - log_ratio, -kMaxDeviation * kEstimateDeviation,
                 kMaxDeviation * kEstimateDeviation);
  ratio = std::exp(
      std::clamp(log_ratio + weight * clipped, -kMaxLogRatio, kMaxLogRatio));
}

void LearnTypicalRunTime(RunTimes& run_times,
                         const PoolJobStep& step,
                         const wire::JobStep& order) {
  const auto expected =
      static_cast<double>(std::max<Micros>(step.expected_run_time, 1));
  const double work = expected * static_cast<double>(step.tasks.size()) *
                      std::max<double>(order.cpu_millis(), 1);
  run_times.work = kWorkDecay * run_times.work + work;
  run_times.work_log_run_time =
      kWorkDecay * run_times.work_log_run_time + work * std::log(expected);
}

void LearnFromStep(PoolBoard& board, PoolJob& job, uint32_t index) {
  PoolJobStep& step = job.steps[index];
  const std::string& queue = job.order.queue();
  const auto known = board.run_times.queue_ratio.find(queue);
  const double queue_log_ratio = known == board.run_times.queue_ratio.end()
                                     ? 0.0
                                     : std::log(known->second);
  const std::vector<ProfileSample> samples = SamplesByWorker(board, step);
  if (!samples.empty()) {
    const double deviation = LearnFromSamples(samples, queue_log_ratio,
                                              board.run_times.task_variance);
    LearnQueueRatio(board.run_times, queue, deviation);
    board.run_times.queue_service[queue] = job.order.service();
  }
  LearnTypicalRunTime(board.run_times, step,
                      job.order.steps(static_cast<int>(index)));
  step.samples.clear();
}

}  // namespace

const std::string& KindOf(const PoolWorker& worker) {
  static const std::string no_kind;
  return worker.status.labels_size() > 0 ? worker.status.labels(0) : no_kind;
}

double ProfileFactor(const PoolBoard& board, const PoolWorker& worker) {
  if (worker.profile.samples > 0) {
    return std::exp(worker.profile.log_factor);
  }
  const auto found = board.run_times.kind_factor.find(KindOf(worker));
  return found == board.run_times.kind_factor.end() ? 1.0 : found->second;
}

void RecordRunTime(PoolBoard& board,
                   PoolJob& job,
                   uint32_t step,
                   PoolWorker& worker,
                   Micros took) {
  const auto estimate = static_cast<double>(
      job.order.steps(static_cast<int>(step)).estimate_ms() * kMillisecond);
  PoolJobStep& job_step = job.steps[step];
  if (estimate > 0 && took > 0) {
    const double expected = static_cast<double>(job_step.expected_run_time) *
                            ProfileFactor(board, worker);
    job_step.samples.push_back(
        {worker.status.id(), worker.status.born_ms(),
         std::log(static_cast<double>(took) / estimate),
         static_cast<double>(took) / std::max(expected, 1.0)});
  }
  if (job_step.open_tasks <= 1) {
    LearnFromStep(board, job, step);
  }
}

double LearnFromSamples(const std::vector<ProfileSample>& samples,
                        double queue_log_ratio,
                        double& task_variance) {
  double precision = 0;
  double weighted = 0;
  double residuals = 0;
  for (const ProfileSample& sample : samples) {
    const double residual = sample.log_ratio - sample.profile->log_factor;
    const double weight = 1 / (sample.profile->variance + task_variance);
    precision += weight;
    weighted += weight * residual;
    residuals += residual;
  }
  struct Deviation {
    double value = 0;
    double variance = 0;
  };
  std::vector<Deviation> deviations;
  for (const ProfileSample& sample : samples) {
    const double residual = sample.log_ratio - sample.profile->log_factor;
    const double weight = 1 / (sample.profile->variance + task_variance);
    // What the other workers tell about the step's own deviation. If that is
    // far from usual, the usual deviation does not apply to this step.
    const double others = samples.size() > 1 ? precision - weight : 0;
    const double others_weighted =
        samples.size() > 1 ? weighted - weight * residual : 0;
    double usual_variance = Square(kEstimateDeviation);
    if (others > 0) {
      usual_variance = std::max(
          usual_variance, Square(others_weighted / others - queue_log_ratio));
    }
    const double total = others + 1 / usual_variance;
    const double step_deviation =
        (others_weighted + queue_log_ratio / usual_variance) / total;
    deviations.push_back(
        {residual - step_deviation, task_variance + 1 / total});
  }
  const double mean_residual = Mean(residuals, samples.size());
  if (samples.size() > 1) {
    LearnTaskVariance(samples, mean_residual, task_variance);
  }
  for (size_t i = 0; i < samples.size(); ++i) {
    ApplySample(*samples[i].profile, deviations[i].value,
                deviations[i].variance);
  }
  return mean_residual;
}

void CenterProfiles(PoolBoard& board) {
  RunTimes& run_times = board.run_times;
  std::map<std::string, std::pair<double, size_t>> services;  // sum, count
  // Workers without samples are not shifted below, so they must not count: an
  // outdated factor of their kind would shift the others at each tick.
  for (const auto& [id, worker] : board.owned) {
    if (worker->profile.samples > 0) {
      auto& [sum, count] = services[worker->status.service()];
      sum += worker->profile.log_factor;
      ++count;
    }
  }
  for (auto& [kind, factor] : run_times.kind_factor) {
    const auto found = services.find(run_times.kind_service[kind]);
    if (found != services.end()) {
      const double mean = Mean(found->second.first, found->second.second);
      factor = std::exp(
          std::clamp(std::log(factor) - mean, -kMaxLogFactor, kMaxLogFactor));
    }
  }
  std::map<std::string, std::pair<double, double>> kinds;  // sum, weight
  for (const auto& [id, worker] : board.owned) {
    WorkerProfile& profile = worker->profile;
    if (profile.samples > 0) {
      const auto& [sum, count] = services[worker->status.service()];
      profile.log_factor = std::clamp(profile.log_factor - Mean(sum, count),
                                      -kMaxLogFactor, kMaxLogFactor);
      run_times.kind_service[KindOf(*worker)] = worker->status.service();
      auto& [weighted, weight] = kinds[KindOf(*worker)];
      const double samples = std::min(profile.samples, kMaxKindWeight);
      weighted += samples * profile.log_factor;
      weight += samples;
    }
  }
  for (auto& [queue, ratio] : run_times.queue_ratio) {
    const auto found = services.find(run_times.queue_service[queue]);
    if (found != services.end()) {
      const double mean = Mean(found->second.first, found->second.second);
      ratio = std::exp(
          std::clamp(std::log(ratio) + mean, -kMaxLogRatio, kMaxLogRatio));
    }
  }
  for (const auto& [kind, sums] : kinds) {
    run_times.kind_factor[kind] = std::exp(sums.first / sums.second);
  }
}

double SpeedRank(const PoolBoard& board,
                 const PoolJob& job,
                 uint32_t step,
                 const PoolWorker& worker,
                 Micros now) {
  const double factor = RunTimeFactor(board, worker);
  if (!board.options.features.run_times_by_worker ||
      board.run_times.work == 0) {
    return factor;
  }
  const double interval = std::round(std::log(factor) / kSpeedInterval);
  const auto expected = static_cast<double>(
      std::max<Micros>(job.steps[step].expected_run_time, 1));
  const double typical =
      board.run_times.work_log_run_time / board.run_times.work;
  const bool is_short = std::log(expected) < typical - kShortTask;
  const bool on_time = kOnTimeMargin * expected * factor <=
                       static_cast<double>(job.objective_at - now);
  if (!is_short) {
    return interval;
  }
  // Workers on which it would be late come after all others.
  return on_time ? -interval : interval + 4 * kMaxLogFactor / kSpeedInterval;
}

double AverageFactor(const PoolBoard& board,
                     const wire::JobOrder& order,
                     const wire::JobStep& step,
                     Micros now) {
  if (!board.options.features.run_times_by_worker) {
    return 1;
  }
  double sum = 0;
  size_t count = 0;
  for (const auto& [id, worker] : board.owned) {
    if (AcceptsStarts(*worker, now) && Matches(*worker, order, step)) {
      sum += LogFactor(board, *worker);
      ++count;
    }
  }
  return count == 0 ? 1 : std::exp(Mean(sum, count));
}

ProfileSummary SummarizeProfiles(const PoolBoard& board) {
  std::vector<double> factors;
  for (const auto& [id, worker] : board.owned) {
    if (worker->profile.samples > 0) {
      factors.push_back(ProfileFactor(board, *worker));
    }
  }
  ProfileSummary summary;
  if (factors.empty()) {
    return summary;
  }
  std::sort(factors.begin(), factors.end());
  summary.workers = factors.size();
  summary.smallest = factors.front();
  summary.median = factors[factors.size() / 2];
  summary.largest = factors.back();
  return summary;
}

}  // namespace goldcrest
