#include "goldcrest/configuration.h"

#include <algorithm>
#include <set>
#include <utility>

#include "goldcrest/digest.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

constexpr TextRange kNameRange = {1, kMaxNameBytes};
// The upper bound of fields that hold a count or a number of bytes.
constexpr int64_t kMaxCount = 1'000'000'000;

// Returns the JSON path of one array element.
std::string Indexed(const std::string& field, size_t index) {
  return field + "[" + std::to_string(index) + "]";
}

std::string ReadName(ObjectReader& reader, const std::string& field) {
  std::string name = reader.Text(field, kNameRange);
  if (!name.empty() && !IsValidName(name)) {
    reader.Fail(field, ResultCode::kOutOfRange,
                "expected letters, digits, '.', '_', ':' or '-'");
  }
  return name;
}

ServiceObjective ReadObjective(const Poco::Dynamic::Var& value,
                               const std::string& path,
                               FieldErrors& errors) {
  const ServiceObjective defaults;
  ObjectReader reader(value, path, errors);
  ServiceObjective objective;
  objective.target_ms =
      reader.Integer("target_ms", {1, kMaxDeadlineMs}, defaults.target_ms);
  objective.objective =
      reader.Number("objective", {0.5, 0.999999}, defaults.objective);
  reader.Finish();
  return objective;
}

KindPolicy ReadKind(const Poco::Dynamic::Var& value,
                    const std::string& path,
                    FieldErrors& errors) {
  const KindPolicy defaults;
  ObjectReader reader(value, path, errors);
  KindPolicy kind;
  kind.name = ReadName(reader, "name");
  kind.idempotent = reader.Boolean("idempotent");
  kind.deadline_ms =
      reader.Integer("deadline_ms", {1, kMaxDeadlineMs}, defaults.deadline_ms);
  kind.max_attempts =
      reader.Integer("max_attempts", {1, 20}, defaults.max_attempts);
  kind.hedge = reader.Boolean("hedge", defaults.hedge);
  kind.priority =
      reader.Integer("priority", {0, kLowestPriority}, defaults.priority);
  if (reader.Has("slo")) {
    kind.slo = ReadObjective(reader.Value("slo"), reader.PathOf("slo"), errors);
  }
  if (kind.hedge && !kind.idempotent) {
    reader.Fail("hedge", ResultCode::kOutOfRange,
                "only an idempotent kind may be hedged");
  }
  reader.Finish();
  return kind;
}

TeamPolicy ReadTeam(const Poco::Dynamic::Var& value,
                    const std::string& path,
                    FieldErrors& errors) {
  const TeamPolicy defaults;
  ObjectReader reader(value, path, errors);
  TeamPolicy team;
  team.name = ReadName(reader, "name");
  team.max_running_tasks = reader.Integer("max_running_tasks", {1, kMaxCount},
                                          defaults.max_running_tasks);
  team.max_submissions_per_s = reader.Number(
      "max_submissions_per_s", {0.001, 1e9}, defaults.max_submissions_per_s);
  reader.Finish();
  return team;
}

LimitPolicy ReadLimits(const Poco::Dynamic::Var& value, FieldErrors& errors) {
  const LimitPolicy defaults;
  ObjectReader reader(value, "limits", errors);
  LimitPolicy limits;
  limits.max_queued_tasks = reader.Integer("max_queued_tasks", {1, 10'000'000},
                                           defaults.max_queued_tasks);
  limits.retention_s =
      reader.Integer("retention_s", {1, 86400}, defaults.retention_s);
  limits.answer_bytes =
      reader.Integer("answer_bytes", {0, kMaxCount}, defaults.answer_bytes);
  limits.clock_bound_ms =
      reader.Integer("clock_bound_ms", {0, 60000}, defaults.clock_bound_ms);
  limits.retry_ratio =
      reader.Number("retry_ratio", {0, 1}, defaults.retry_ratio);
  reader.Finish();
  return limits;
}

// Records an error for each name that occurs earlier in `names`.
void CheckUnique(const std::vector<std::string>& names,
                 const std::string& field,
                 const std::string& suffix,
                 FieldErrors& errors) {
  std::set<std::string> seen;
  for (size_t i = 0; i < names.size(); ++i) {
    if (!names[i].empty() && !seen.insert(names[i]).second) {
      errors.push_back({ResultCode::kOutOfRange, Indexed(field, i) + suffix,
                        "this name is used twice"});
    }
  }
}

template <typename Policy>
std::vector<std::string> NamesOf(const std::vector<Policy>& policies) {
  std::vector<std::string> names;
  names.reserve(policies.size());
  for (const Policy& policy : policies) {
    names.push_back(policy.name);
  }
  return names;
}

void ReadKinds(ObjectReader& reader, FieldErrors& errors, Configuration& out) {
  const Poco::JSON::Array::Ptr kinds = reader.Array("kinds", kMaxKinds);
  for (size_t i = 0; i < kinds->size(); ++i) {
    out.kinds.push_back(ReadKind(kinds->get(static_cast<unsigned>(i)),
                                 Indexed("kinds", i), errors));
  }
  CheckUnique(NamesOf(out.kinds), "kinds", ".name", errors);
  if (reader.Has("kinds") && out.kinds.empty() && errors.empty()) {
    reader.Fail("kinds", ResultCode::kOutOfRange, "expected at least one kind");
  }
}

void ReadTeams(ObjectReader& reader, FieldErrors& errors, Configuration& out) {
  const Poco::JSON::Array::Ptr teams = reader.Array("teams", kMaxTeams);
  for (size_t i = 0; i < teams->size(); ++i) {
    out.teams.push_back(ReadTeam(teams->get(static_cast<unsigned>(i)),
                                 Indexed("teams", i), errors));
  }
  CheckUnique(NamesOf(out.teams), "teams", ".name", errors);
  if (reader.Has("teams") && out.teams.empty() && errors.empty()) {
    reader.Fail("teams", ResultCode::kOutOfRange, "expected at least one team");
  }
}

void ReadDomains(ObjectReader& reader,
                 FieldErrors& errors,
                 Configuration& out) {
  if (!reader.Has("failure_domains")) {
    return;
  }
  const Poco::JSON::Array::Ptr domains =
      reader.Array("failure_domains", kMaxDomains);
  for (size_t i = 0; i < domains->size(); ++i) {
    const Poco::Dynamic::Var value = domains->get(static_cast<unsigned>(i));
    if (!value.isString() || !IsValidName(value.extract<std::string>())) {
      errors.push_back({ResultCode::kOutOfRange, Indexed("failure_domains", i),
                        "expected the name of a failure domain"});
      continue;
    }
    out.failure_domains.push_back(value.extract<std::string>());
  }
  CheckUnique(out.failure_domains, "failure_domains", "", errors);
}

std::string NumberJson(double value) {
  Poco::Dynamic::Var number(value);
  return number.toString();
}

std::string BoolJson(bool value) {
  return value ? "true" : "false";
}

std::string KindJson(const KindPolicy& kind) {
  return "{\"name\":" + JsonQuote(kind.name) +
         ",\"idempotent\":" + BoolJson(kind.idempotent) +
         ",\"deadline_ms\":" + std::to_string(kind.deadline_ms) +
         ",\"max_attempts\":" + std::to_string(kind.max_attempts) +
         ",\"hedge\":" + BoolJson(kind.hedge) +
         ",\"priority\":" + std::to_string(kind.priority) +
         ",\"slo\":{\"target_ms\":" + std::to_string(kind.slo.target_ms) +
         ",\"objective\":" + NumberJson(kind.slo.objective) + "}}";
}

std::string TeamJson(const TeamPolicy& team) {
  return "{\"name\":" + JsonQuote(team.name) +
         ",\"max_running_tasks\":" + std::to_string(team.max_running_tasks) +
         ",\"max_submissions_per_s\":" +
         NumberJson(team.max_submissions_per_s) + "}";
}

std::string LimitsJson(const LimitPolicy& limits) {
  return "{\"max_queued_tasks\":" + std::to_string(limits.max_queued_tasks) +
         ",\"retention_s\":" + std::to_string(limits.retention_s) +
         ",\"answer_bytes\":" + std::to_string(limits.answer_bytes) +
         ",\"clock_bound_ms\":" + std::to_string(limits.clock_bound_ms) +
         ",\"retry_ratio\":" + NumberJson(limits.retry_ratio) + "}";
}

template <typename Items, typename ToJson>
std::string ListJson(const Items& items, ToJson to_json) {
  std::string json = "[";
  for (const auto& item : items) {
    json += json.size() == 1 ? "" : ",";
    json += to_json(item);
  }
  return json + "]";
}

KindPolicy MakeKind(const std::string& name,
                    bool idempotent,
                    int64_t deadline_ms,
                    int64_t priority,
                    int64_t target_ms) {
  KindPolicy kind;
  kind.name = name;
  kind.idempotent = idempotent;
  kind.deadline_ms = deadline_ms;
  kind.priority = priority;
  kind.slo.target_ms = target_ms;
  return kind;
}

}  // namespace

const KindPolicy* Configuration::FindKind(const std::string& name) const {
  const auto found =
      std::find_if(kinds.begin(), kinds.end(),
                   [&](const KindPolicy& kind) { return kind.name == name; });
  return found == kinds.end() ? nullptr : &*found;
}

const TeamPolicy* Configuration::FindTeam(const std::string& name) const {
  const auto found =
      std::find_if(teams.begin(), teams.end(),
                   [&](const TeamPolicy& team) { return team.name == name; });
  return found == teams.end() ? nullptr : &*found;
}

tl::expected<Configuration, FieldErrors> ParseConfiguration(
    const std::string& text) {
  const auto json = ParseJson(text);
  if (!json) {
    return tl::make_unexpected(FieldErrors{json.error()});
  }
  FieldErrors errors;
  Configuration configuration;
  ObjectReader reader(*json, "", errors);
  configuration.service = ReadName(reader, "service");
  ReadKinds(reader, errors, configuration);
  ReadTeams(reader, errors, configuration);
  ReadDomains(reader, errors, configuration);
  if (reader.Has("limits")) {
    configuration.limits = ReadLimits(reader.Value("limits"), errors);
  }
  reader.Finish();
  if (!errors.empty()) {
    return tl::make_unexpected(errors);
  }
  return configuration;
}

std::string ConfigurationJson(const Configuration& configuration) {
  return "{\"service\":" + JsonQuote(configuration.service) +
         ",\"kinds\":" + ListJson(configuration.kinds, KindJson) +
         ",\"teams\":" + ListJson(configuration.teams, TeamJson) +
         ",\"failure_domains\":" +
         ListJson(configuration.failure_domains,
                  [](const std::string& name) { return JsonQuote(name); }) +
         ",\"limits\":" + LimitsJson(configuration.limits) + "}";
}

std::string ConfigurationDigest(const Configuration& configuration) {
  return Sha256Hex(ConfigurationJson(configuration));
}

std::string ErrorsJson(const FieldErrors& errors) {
  return "{\"code\":" +
         std::to_string(static_cast<int>(ResultCode::kInvalidDocument)) +
         ",\"name\":\"" +
         std::string(RowOf(ResultCode::kInvalidDocument).name) +
         "\",\"errors\":" + ListJson(errors, ErrorJson) + "}";
}

Configuration DefaultConfiguration() {
  Configuration configuration;
  configuration.service = "default";
  configuration.kinds = {
      MakeKind("alarm", true, 5000, 0, 500),
      MakeKind("knell", false, 10000, 1, 1000),
      MakeKind("warranty", false, 30000, 3, 5000),
      MakeKind("stock-check", true, 10000, 2, 1000),
      MakeKind("peal", true, 30000, 4, 5000),
      MakeKind("proof", true, 60000, 6, 20000),
      MakeKind("batch", true, 120000, 8, 60000),
  };
  for (const char* name : {"peal", "alarm", "counter", "batch"}) {
    TeamPolicy team;
    team.name = name;
    configuration.teams.push_back(team);
  }
  return configuration;
}

}  // namespace goldcrest
