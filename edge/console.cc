#include "edge/console.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include "edge/html.h"
#include "goldcrest/configuration.h"
#include "goldcrest/digest.h"
#include "goldcrest/json_reader.h"
#include "goldcrest/membership.h"

namespace goldcrest {
namespace {

// The values of a form by field name, and its validation errors, which refer to
// the same names.
struct FormState {
  std::map<std::string, std::string> values;
  FieldErrors errors;
  uint64_t if_version = 0;

  std::string Value(const std::string& name) const {
    const auto found = values.find(name);
    return found == values.end() ? "" : found->second;
  }
  bool Has(const std::string& name) const { return values.contains(name); }
};

// One column of the table of kinds or the table of teams.
struct Column {
  const char* field;
  const char* title;
  enum class Type { kText, kNumber, kCheck } type;
};

constexpr Column kKindColumns[] = {
    {"name", "Name", Column::Type::kText},
    {"idempotent", "Idempotent tasks", Column::Type::kCheck},
    {"deadline_ms", "Deadline (ms)", Column::Type::kNumber},
    {"max_attempts", "Attempts", Column::Type::kNumber},
    {"hedge", "Hedge", Column::Type::kCheck},
    {"priority", "Priority (0 first)", Column::Type::kNumber},
    {"slo.target_ms", "Target (ms)", Column::Type::kNumber},
    {"slo.objective", "Objective", Column::Type::kNumber},
};

constexpr Column kTeamColumns[] = {
    {"name", "Name", Column::Type::kText},
    {"max_running_tasks", "Running tasks", Column::Type::kNumber},
    {"max_submissions_per_s", "Submissions per second", Column::Type::kNumber},
};

// One field of the "limits" object.
struct LimitField {
  const char* field;
  const char* title;
};

constexpr LimitField kLimitFields[] = {
    {"max_queued_tasks", "Queued tasks per VM"},
    {"retention_s", "Answer retention (s)"},
    {"answer_bytes", "Answer bytes per VM"},
    {"clock_bound_ms", "Clock error bound (ms)"},
    {"retry_ratio", "Retries per first attempt"},
};

std::string RowName(const std::string& list, size_t row) {
  return list + "[" + std::to_string(row) + "]";
}

size_t CountRows(const FormState& state, const std::string& list) {
  size_t rows = 0;
  while (state.Has(RowName(list, rows) + ".name")) {
    ++rows;
  }
  return rows;
}

// Returns `value` unchanged when it is a JSON number. Returns it as a JSON
// string otherwise, so that validation reports the field.
std::string NumberOrStringJson(const std::string& value) {
  double number = 0;
  std::string trimmed = Poco::trim(value);
  const bool digits =
      !trimmed.empty() &&
      trimmed.find_first_not_of("0123456789.-+eE") == std::string::npos;
  if (digits && Poco::NumberParser::tryParseFloat(trimmed, number)) {
    const bool plain =
        trimmed[0] != '+' && trimmed[0] != '.' && trimmed.back() != '.' &&
        !(trimmed.size() > 1 && trimmed[0] == '0' && trimmed[1] != '.');
    if (plain) {
      return trimmed;
    }
  }
  return JsonQuote(value);
}

std::string CellJson(const FormState& state,
                     const std::string& name,
                     Column::Type type) {
  switch (type) {
    case Column::Type::kCheck:
      return state.Has(name) ? "true" : "false";
    case Column::Type::kNumber:
      return NumberOrStringJson(state.Value(name));
    case Column::Type::kText:
      return JsonQuote(Poco::trim(state.Value(name)));
  }
  return "null";
}

// Returns one row as a JSON object. Fields named "slo.x" go into the nested
// object "slo".
template <size_t N>
std::string RowJson(const FormState& state,
                    const std::string& row,
                    const Column (&columns)[N]) {
  std::string json;
  std::string slo;
  for (const Column& column : columns) {
    const std::string field = column.field;
    std::string name = row;
    name += ".";
    name += field;
    const std::string value = CellJson(state, name, column.type);
    const bool nested = field.rfind("slo.", 0) == 0;
    std::string& target = nested ? slo : json;
    target += target.empty() ? "" : ",";
    target += JsonQuote(nested ? field.substr(4) : field);
    target += ":";
    target += value;
  }
  return "{" + json + (slo.empty() ? "" : ",\"slo\":{" + slo + "}") + "}";
}

template <size_t N>
std::string ListJson(const FormState& state,
                     const std::string& list,
                     const Column (&columns)[N]) {
  std::string json;
  for (size_t row = 0; row < CountRows(state, list); ++row) {
    json += json.empty() ? "" : ",";
    json += RowJson(state, RowName(list, row), columns);
  }
  return "[" + json + "]";
}

std::string DomainsJson(const FormState& state) {
  std::string json;
  std::string domain_name;
  std::string text = state.Value("failure_domains") + ",";
  for (const char c : text) {
    if (c != ',' && c != ' ' && c != '\n' && c != '\r') {
      domain_name += c;
      continue;
    }
    if (!domain_name.empty()) {
      json += (json.empty() ? "" : ",") + JsonQuote(domain_name);
      domain_name.clear();
    }
  }
  return "[" + json + "]";
}

std::string LimitsJson(const FormState& state) {
  std::string json;
  for (const LimitField& field : kLimitFields) {
    json += json.empty() ? "" : ",";
    json +=
        JsonQuote(field.field) + ":" +
        NumberOrStringJson(state.Value(std::string("limits.") + field.field));
  }
  return "{" + json + "}";
}

std::string DocumentJson(const FormState& state) {
  return "{\"service\":" + JsonQuote(Poco::trim(state.Value("service"))) +
         ",\"kinds\":" + ListJson(state, "kinds", kKindColumns) +
         ",\"teams\":" + ListJson(state, "teams", kTeamColumns) +
         ",\"failure_domains\":" + DomainsJson(state) +
         ",\"limits\":" + LimitsJson(state) + "}";
}

// Removes the rows of `list` that are marked for removal and renumbers the
// remaining ones without gaps.
void RemoveMarkedRows(FormState& state, const std::string& list) {
  std::map<std::string, std::string> kept;
  size_t next = 0;
  const size_t rows = CountRows(state, list);
  for (size_t row = 0; row < rows; ++row) {
    const std::string prefix = RowName(list, row) + ".";
    const bool remove = state.Has(prefix + "remove");
    for (auto it = state.values.lower_bound(prefix);
         it != state.values.end() && it->first.rfind(prefix, 0) == 0;
         it = state.values.erase(it)) {
      if (!remove) {
        kept[RowName(list, next) + "." + it->first.substr(prefix.size())] =
            it->second;
      }
    }
    next += remove ? 0 : 1;
  }
  state.values.insert(kept.begin(), kept.end());
}

FormState ReadForm(const std::string& form) {
  FormState state;
  for (FormField& field : FormFields(form)) {
    state.values[std::move(field.name)] = std::move(field.value);
  }
  Poco::NumberParser::tryParseUnsigned64(state.Value("if_version"),
                                         state.if_version);
  RemoveMarkedRows(state, "kinds");
  RemoveMarkedRows(state, "teams");
  return state;
}

void AddKindRow(FormState& state, const KindPolicy& kind) {
  const std::string row = RowName("kinds", CountRows(state, "kinds")) + ".";
  if (kind.idempotent) {
    state.values[row + "idempotent"] = "on";
  }
  if (kind.hedge) {
    state.values[row + "hedge"] = "on";
  }
  state.values[row + "deadline_ms"] = std::to_string(kind.deadline_ms);
  state.values[row + "max_attempts"] = std::to_string(kind.max_attempts);
  state.values[row + "priority"] = std::to_string(kind.priority);
  state.values[row + "slo.target_ms"] = std::to_string(kind.slo.target_ms);
  state.values[row + "slo.objective"] =
      Poco::Dynamic::Var(kind.slo.objective).toString();
  state.values[row + "name"] = kind.name;
}

void AddTeamRow(FormState& state, const TeamPolicy& team) {
  const std::string row = RowName("teams", CountRows(state, "teams")) + ".";
  state.values[row + "max_running_tasks"] =
      std::to_string(team.max_running_tasks);
  state.values[row + "max_submissions_per_s"] =
      Poco::Dynamic::Var(team.max_submissions_per_s).toString();
  state.values[row + "name"] = team.name;
}

FormState FormOfConfiguration(const Configuration& configuration,
                              uint64_t version) {
  FormState state;
  state.if_version = version;
  state.values["service"] = configuration.service;
  for (const KindPolicy& kind : configuration.kinds) {
    AddKindRow(state, kind);
  }
  for (const TeamPolicy& team : configuration.teams) {
    AddTeamRow(state, team);
  }
  std::string domains;
  for (const std::string& domain : configuration.failure_domains) {
    domains += (domains.empty() ? "" : ", ") + domain;
  }
  state.values["failure_domains"] = domains;
  const LimitPolicy& limits = configuration.limits;
  state.values["limits.max_queued_tasks"] =
      std::to_string(limits.max_queued_tasks);
  state.values["limits.retention_s"] = std::to_string(limits.retention_s);
  state.values["limits.answer_bytes"] = std::to_string(limits.answer_bytes);
  state.values["limits.clock_bound_ms"] = std::to_string(limits.clock_bound_ms);
  state.values["limits.retry_ratio"] =
      Poco::Dynamic::Var(limits.retry_ratio).toString();
  return state;
}

// ------------------------------------------------------------ rendering

std::string ErrorsAt(const FormState& state, const std::string& name) {
  std::string html;
  for (const FieldError& error : state.errors) {
    if (error.field == name) {
      html += "<span class=error>" + HtmlEscape(error.message) + "</span>";
    }
  }
  return html;
}

std::string TextInput(const FormState& state, const std::string& name) {
  const std::string errors = ErrorsAt(state, name);
  return "<input type=text name=\"" + HtmlEscape(name) + "\" value=\"" +
         HtmlEscape(state.Value(name)) + "\"" +
         (errors.empty() ? "" : " class=wrong") + ">" + errors;
}

std::string CheckInput(const FormState& state, const std::string& name) {
  return "<input type=checkbox name=\"" + HtmlEscape(name) + "\"" +
         (state.Has(name) ? " checked" : "") + ">" + ErrorsAt(state, name);
}

template <size_t N>
std::string TableHtml(const FormState& state,
                      const std::string& list,
                      const Column (&columns)[N]) {
  std::string html = "<table><tr>";
  for (const Column& column : columns) {
    html += "<th>" + std::string(column.title) + "</th>";
  }
  html += "<th>Remove</th></tr>";
  for (size_t row = 0; row < CountRows(state, list); ++row) {
    html += "<tr>";
    for (const Column& column : columns) {
      const std::string name = RowName(list, row) + "." + column.field;
      const bool check = column.type == Column::Type::kCheck;
      const bool number = column.type == Column::Type::kNumber;
      html += number ? "<td class=number>" : "<td>";
      html += check ? CheckInput(state, name) : TextInput(state, name);
      html += "</td>";
    }
    html += "<td><input type=checkbox name=\"" + RowName(list, row) +
            ".remove\"></td></tr>";
  }
  return html + "</table>" + ErrorsAt(state, list);
}

std::string FormHtml(const FormState& state) {
  std::string html =
      "<form method=post action=\"/console\"><input type=hidden "
      "name=if_version value=\"" +
      std::to_string(state.if_version) + "\">";
  html += "<section><h2>Service</h2><label class=field>Name" +
          TextInput(state, "service") +
          "</label><label class=field>Failure domains" +
          TextInput(state, "failure_domains") + "</label></section>";
  html +=
      "<section><h2>Kinds</h2><p class=hint>How tasks of each kind are "
      "handled. A task of a non-idempotent kind runs at most once, "
      "whatever fails.</p>" +
      TableHtml(state, "kinds", kKindColumns) +
      "<p></p><button name=action value=add_kind>Add a kind</button>"
      "</section>";
  html +=
      "<section><h2>Teams</h2><p class=hint>Limits that apply to the "
      "whole service.</p>" +
      TableHtml(state, "teams", kTeamColumns) +
      "<p></p><button name=action value=add_team>Add a team</button>"
      "</section><section><h2>Limits</h2>";
  for (const LimitField& field : kLimitFields) {
    html += "<label class=field>" + std::string(field.title) +
            TextInput(state, std::string("limits.") + field.field) + "</label>";
  }
  return html +
         "</section><section><div class=bar><button class=main name=action "
         "value=preview>Preview and check</button><button name=action "
         "value=submit>Put into force</button><span class=hint>Nothing "
         "changes before &ldquo;Put into force&rdquo;.</span></div></section>"
         "</form>";
}

std::string BannerHtml(const std::string& kind,
                       const std::string& title,
                       const std::string& text) {
  return "<section class=\"banner " + kind + "\"><h2>" + HtmlEscape(title) +
         "</h2><p class=hint>" + HtmlEscape(text) + "</p></section>";
}

std::string PreviewHtml(const FormState& state, const std::string& document) {
  std::string html =
      "<section><h2>The document</h2><p class=hint>The "
      "document built from this form, exactly as it would be submitted "
      "against version " +
      std::to_string(state.if_version) + ".</p><pre>";
  try {
    Poco::JSON::Parser parser;
    std::ostringstream text;
    Poco::JSON::Stringifier::stringify(parser.parse(document), text, 2);
    html += HtmlEscape(text.str());
  } catch (const Poco::Exception&) {
    html += HtmlEscape(document);
  }
  return html + "</pre></section>";
}

std::string HeaderHtml(const Blackboard& bb) {
  const wire::ConfigurationState& state = bb.configuration.in_force;
  size_t reachable = 1;
  for (const auto& [vm, peer] : bb.membership.peers) {
    reachable += peer.reachable ? 1 : 0;
  }
  return "<span>VM " + HtmlEscape(bb.deployment.self) + ", failure domain " +
         HtmlEscape(bb.deployment.failure_domain) + "</span><span>version " +
         std::to_string(state.version()) + " in force, digest " +
         HtmlEscape(state.digest().substr(0, 12)) + "</span><span>" +
         std::to_string(reachable) + " of " +
         std::to_string(bb.deployment.vms.size()) + " VMs reachable</span>";
}

HttpReply Page(const Blackboard& bb, const std::string& body, int status) {
  HttpReply reply;
  reply.status = status;
  reply.content_type = "text/html; charset=utf-8";
  reply.body = RenderHtmlPage({"goldcrestplank console", HeaderHtml(bb), body});
  return reply;
}

// Returns whether `document` is the same as the document in force, as a
// sentence; empty when the document is not valid.
std::string ComparisonText(const Blackboard& bb, const std::string& document) {
  const auto next = ParseConfiguration(document);
  if (!next) {
    return "";
  }
  const bool same =
      ConfigurationJson(*next) == bb.configuration.in_force.document();
  return same ? "The document is the same as the one in force."
              : "The document differs from the one in force.";
}

HttpReply ValidatedPage(const Blackboard& bb,
                        FormState state,
                        const std::string& banner,
                        int status) {
  const std::string document = DocumentJson(state);
  const auto parsed = ParseConfiguration(document);
  std::string top = banner;
  if (!parsed) {
    state.errors = parsed.error();
    top +=
        BannerHtml("bad",
                   "The document has " + std::to_string(state.errors.size()) +
                       (state.errors.size() == 1 ? " error" : " errors"),
                   "Each is shown beside its field. Nothing was changed.");
  } else if (banner.empty()) {
    top += BannerHtml("good", "The document is valid",
                      ComparisonText(bb, document));
  }
  return Page(bb, top + FormHtml(state) + PreviewHtml(state, document),
              parsed ? status : 422);
}

}  // namespace

std::string DocumentOfForm(const std::string& form) {
  return DocumentJson(ReadForm(form));
}

HttpReply ConsolePage(const Blackboard& bb, StepTime /*now*/) {
  const ConfigurationBoard& board = bb.configuration;
  const FormState state =
      FormOfConfiguration(board.active, board.in_force.version());
  std::string banner;
  if (board.in_force.version() == 0) {
    banner = BannerHtml("bad", "No configuration is in force yet",
                        "This VM has had no contact with a majority of the "
                        "configuration voters.");
  }
  return Page(bb, banner + FormHtml(state), 200);
}

std::variant<HttpReply, Event> HandleConsoleForm(const HttpRequest& request,
                                                 ReplyToken token,
                                                 const Blackboard& bb) {
  FormState state = ReadForm(request.body);
  const std::string action = state.Value("action");
  if (action == "add_kind") {
    AddKindRow(state, KindPolicy());
    return Page(bb, FormHtml(state), 200);
  }
  if (action == "add_team") {
    AddTeamRow(state, TeamPolicy());
    return Page(bb, FormHtml(state), 200);
  }
  const auto parsed = ParseConfiguration(DocumentJson(state));
  if (action != "submit" || !parsed) {
    return ValidatedPage(bb, std::move(state), "", 200);
  }
  ConfigurationPut put;
  put.token = token;
  put.if_version = state.if_version;
  put.document = ConfigurationJson(*parsed);
  put.digest = Sha256Hex(put.document);
  return Event(std::move(put));
}

HttpReply ConsoleResultPage(const std::string& form,
                            int status,
                            const std::string& body,
                            const Blackboard& bb) {
  FormState state = ReadForm(form);
  std::string banner;
  if (status == 200) {
    state.if_version = bb.configuration.in_force.version();
    banner = BannerHtml(
        "good", "In force as version " + std::to_string(state.if_version),
        "The change is recorded by a majority of the voters "
        "and can no longer be lost.");
  } else if (status == 409) {
    banner = BannerHtml("bad", "Another version is in force",
                        "The configuration was changed after this form was "
                        "loaded. Open the console again to see it; " +
                            body);
  } else if (status == 504) {
    banner = BannerHtml("bad", "Result not known yet",
                        "Press \"Put into force\" again: the same change is "
                        "never applied twice.");
  } else {
    banner = BannerHtml("bad", "Refused, nothing changed", body);
  }
  return ValidatedPage(bb, std::move(state), banner, status);
}

}  // namespace goldcrest
