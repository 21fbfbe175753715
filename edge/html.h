#ifndef EDGE_HTML_H_
#define EDGE_HTML_H_

// The frame and the look that our HTML pages share: the console and the burn
// report. A page is one file: its style is inside, and it has no scripts.

#include <string>

namespace goldcrest {

// The parts of a page, the first as plain text, the others as HTML.
struct HtmlPage {
  std::string title;
  std::string header;  // what stands beside the title
  std::string body;
};

// Returns the whole page.
std::string HtmlText(const HtmlPage& page);

// Returns `text` with the signs of markup replaced.
std::string HtmlEscape(const std::string& text);

}  // namespace goldcrest

#endif  // EDGE_HTML_H_
