#include "edge/html.h"

namespace goldcrest {
namespace {

constexpr char kStyle[] = R"css(
:root { --ink:#1d2733; --soft:#5b6b7c; --line:#d5dde5; --bad:#a3231c;
  --good:#1d6b3c; --paper:#f5f7f9; --act:#1f4e79; }
* { box-sizing:border-box; }
body { margin:0; font:15px/1.5 "Liberation Sans",Arial,sans-serif;
  color:var(--ink); background:var(--paper); }
header { background:#1d2f42; color:#fff; padding:14px 28px; display:flex;
  gap:28px; align-items:baseline; flex-wrap:wrap; }
header h1 { font-size:19px; margin:0; font-weight:600; }
header span { color:#c4d2df; font-size:13px; }
main { max-width:1240px; margin:0 auto; padding:20px 28px 60px; }
section { background:#fff; border:1px solid var(--line); border-radius:5px;
  padding:14px 18px 16px; margin:0 0 16px; }
h2 { font-size:16px; margin:0 0 4px; }
p.hint { color:var(--soft); margin:0 0 10px; font-size:13px; }
table { border-collapse:collapse; width:100%; }
th { text-align:left; font-size:12px; color:var(--soft); font-weight:600;
  padding:4px 6px; border-bottom:1px solid var(--line); }
td { padding:4px 6px; vertical-align:top; border-bottom:1px solid #edf1f4; }
input[type=text] { width:100%; min-width:64px; padding:4px 6px;
  border:1px solid #b6c2cd; border-radius:3px; font:inherit; }
td.number input[type=text] { max-width:116px; text-align:right; }
input.wrong { border-color:var(--bad); background:#fff4f3; }
.error { color:var(--bad); font-size:12px; display:block; }
.banner { border-left:5px solid var(--act); }
.banner.good { border-color:var(--good); }
.banner.bad { border-color:var(--bad); }
button { font:inherit; padding:6px 14px; border:1px solid #8fa1b2;
  background:#fff; border-radius:4px; cursor:pointer; }
button.main { background:var(--act); border-color:var(--act); color:#fff; }
.bar { display:flex; gap:10px; align-items:center; flex-wrap:wrap; }
pre { background:#f0f3f6; border:1px solid var(--line); padding:10px;
  overflow:auto; max-height:340px; font-size:12.5px; margin:8px 0 0; }
label.field { display:inline-block; margin:0 18px 8px 0; font-size:13px;
  color:var(--soft); }
label.field input[type=text] { width:160px; display:block; color:var(--ink); }
td.count { text-align:right; font-variant-numeric:tabular-nums; }
th.count { text-align:right; }
.alert { display:inline-block; padding:1px 9px; border-radius:9px;
  font-size:12px; color:#fff; background:var(--good); }
.alert.ticket { background:#96650a; }
.alert.page { background:var(--bad); }
.tiles { display:flex; gap:34px; flex-wrap:wrap; }
.tile b { display:block; font-size:24px; font-weight:600; }
.tile span { color:var(--soft); font-size:13px; }
svg { max-width:100%; height:auto; }
)css";

}  // namespace

std::string RenderHtmlPage(const HtmlPage& page) {
  const std::string title = HtmlEscape(page.title);
  return "<!doctype html><html lang=en><head><meta charset=utf-8><title>" +
         title + "</title><style>" + std::string(kStyle) +
         "</style></head><body><header><h1>" + title + "</h1>" + page.header +
         "</header><main>" + page.body + "</main></body></html>\n";
}

std::string HtmlEscape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

}  // namespace goldcrest
