#include <catch2/catch.hpp>

#include "report/explain.h"

namespace goldcrest {
namespace {

const std::vector<std::string> kLines = {
    "time=2026-07-14T02:13:40.200Z level=info event=job_accepted vm=core-b "
    "job=j1 queue=q entry=10.0.0.1:7 tasks=2",
    "time=2026-07-14T02:13:40.100Z level=info event=job_sent vm=front-a "
    "job=j1 queue=q control=10.0.0.2:7 heard_ms_ago=12",
    "1.2 core-b time=2026-07-14T02:13:40.201Z level=info event=task_started "
    "vm=core-b job=j1 step=0 index=1 run=1 worker=w7 token=9",
    "time=2026-07-14T02:13:40.400Z level=warning event=run_ended vm=core-b "
    "job=j1 task=j1/0/0/1 run=1 worker=w7 end=failed never_ran=0",
    "time=2026-07-14T02:13:40.400Z level=warning event=worker_ejected "
    "vm=core-b worker=w7 failures=2 for_ms=1000",
    "time=2026-07-14T02:13:40.400Z level=warning event=worker_ejected "
    "vm=core-c worker=w8 failures=2 for_ms=1000",
    "time=2026-07-14T02:13:49.000Z level=warning event=worker_ejected "
    "vm=core-b worker=w7 failures=2 for_ms=1000",
    "time=2026-07-14T02:13:40.900Z level=info event=job_answered vm=front-a "
    "job=j1 outcome=completed took_ms=800",
    "time=2026-07-14T02:13:40.300Z level=info event=job_sent vm=front-a job=j2",
    "a line of something else",
    "",
};

TEST_CASE("Job timeline: rows are in order and include events of its worker") {
  const JobTimeline timeline = BuildJobTimeline("j1", kLines);
  REQUIRE(timeline.rows.size() == 6);
  CHECK(timeline.rows.front().event == "job_sent");
  CHECK(timeline.rows.back().event == "job_answered");
  CHECK(timeline.unparsed_lines == 2);
  CHECK(timeline.cause == "run_ended: failed at core-b");
  int ejections = 0;
  for (const LogRow& row : timeline.rows) {
    ejections += row.event == "worker_ejected" ? 1 : 0;
  }
  CHECK(ejections == 1);  // only its worker, within its seconds
}

TEST_CASE("Job timeline: a job that no log mentions has no rows and no cause") {
  const JobTimeline timeline = BuildJobTimeline("j9", kLines);
  CHECK(timeline.rows.empty());
  CHECK(timeline.cause.empty());
  CHECK(JobTimelineText("j9", timeline).find("not logged") !=
        std::string::npos);
}

TEST_CASE("Job timeline: names each crash of a worker under the job's tasks") {
  const JobTimeline timeline = BuildJobTimeline(
      "j1",
      {"time=2026-07-14T02:13:40.200Z level=warning event=task_crash vm=core-b "
       "job=j1 task=j1/0/0/0 queue=q address=10.0.0.9:80 born_ms=1 alone=0 "
       "crashes=1 limit=2 outcome=retry_alone",
       "time=2026-07-14T02:13:40.700Z level=warning event=task_crash vm=core-b "
       "job=j1 task=j1/0/0/0 queue=q address=10.0.0.8:80 born_ms=1 alone=1 "
       "crashes=2 limit=2 outcome=given_up"});
  CHECK(timeline.cause == "task_crash: retry_alone at core-b");
  const std::string text = JobTimelineText("j1", timeline);
  CHECK(text.find("crash 1 of 2: task j1/0/0/0 was with others on worker "
                  "10.0.0.9:80") != std::string::npos);
  CHECK(text.find("crash 2 of 2: task j1/0/0/0 was alone on worker "
                  "10.0.0.8:80") != std::string::npos);
}

TEST_CASE("Log row: quoted values with escapes and spaces are parsed") {
  LogRow row;
  REQUIRE(ParseLogRow(
      R"(time=t event=e vm=v error="it said \"no\" a=b" last=1)", row));
  CHECK(row.fields.at("error") == "it said \"no\" a=b");
  CHECK(row.fields.at("last") == "1");
  CHECK_FALSE(ParseLogRow("event=e", row = LogRow()));
}

}  // namespace
}  // namespace goldcrest
