#ifndef EDGE_HTML_H_
#define EDGE_HTML_H_

// The page layout and style sheet shared by the HTML pages: the console and the
// burn report. A page is self-contained: its style sheet is inline, and it has
// no scripts.

#include <string>

namespace goldcrest {

// The parts of a page. `title` is plain text, the others are HTML.
struct HtmlPage {
  std::string title;
  std::string header;  // shown beside the title
  std::string body;
};

// Returns the complete HTML document of a page.
std::string RenderHtmlPage(const HtmlPage& page);

// Returns `text` with the characters &, <, > and " replaced by HTML entities.
std::string HtmlEscape(const std::string& text);

}  // namespace goldcrest

#endif  // EDGE_HTML_H_
