#ifndef GOLDCREST_JSON_READER_H_
#define GOLDCREST_JSON_READER_H_

// Strict parsing of JSON bodies.
//
// ParseJson() parses text into a POCO JSON value with bounded nesting. An
// ObjectReader then reads the fields of one object one by one. Each read checks
// type and range and records an error with its JSON path instead of throwing.
// Finish() reports the fields that were not read. Reading continues after an
// error, so one pass finds every error of a document.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <tl/expected.hpp>

#include "goldcrest/result_code.h"

namespace goldcrest {

// One error in a body: a code, the JSON path of the field and an explanation
// for the caller.
struct FieldError {
  ResultCode code = ResultCode::kMalformedBody;
  std::string field;
  std::string message;
};

using FieldErrors = std::vector<FieldError>;

// Inclusive bounds of an integer field.
struct IntegerRange {
  int64_t low = 0;
  int64_t high = 0;
};

// Inclusive bounds of a number field.
struct NumberRange {
  double low = 0;
  double high = 0;
};

// Bounds on the length of a text field, in bytes.
struct TextRange {
  size_t low = 0;
  size_t high = 0;
};

// Parses `text` as one JSON value of at most kMaxJsonValues, nested at most
// kMaxJsonDepth deep. An error has the code kMalformedBody and an empty path.
tl::expected<Poco::Dynamic::Var, FieldError> ParseJson(const std::string& text);

inline constexpr int kMaxJsonDepth = 16;
// A parsed value takes many times its text, so that the size of a body alone
// does not bound the memory for it.
inline constexpr size_t kMaxJsonValues = 100'000;

// Reads one JSON object. `path` is the JSON path of the object, empty for the
// whole body. Errors are appended to `errors`, which must outlive the reader.
class ObjectReader {
 public:
  ObjectReader(const Poco::Dynamic::Var& value,
               std::string path,
               FieldErrors& errors);

  // Returns true if the value is an object.
  bool ok() const { return !object_.isNull(); }

  // Returns true if the object has a field called `name`.
  bool Has(const std::string& name) const;

  // Each of these reads one required field. If the field is missing or invalid,
  // it records an error and returns a default value.
  std::string Text(const std::string& name, TextRange range);
  int64_t Integer(const std::string& name, IntegerRange range);
  double Number(const std::string& name, NumberRange range);
  bool Boolean(const std::string& name);
  Poco::JSON::Array::Ptr Array(const std::string& name, size_t max_size);
  Poco::Dynamic::Var Value(const std::string& name);

  // Each of these reads one optional field and returns `fallback` if it is
  // missing.
  std::string Text(const std::string& name,
                   TextRange range,
                   const std::string& fallback);
  int64_t Integer(const std::string& name,
                  IntegerRange range,
                  int64_t fallback);
  bool Boolean(const std::string& name, bool fallback);
  double Number(const std::string& name, NumberRange range, double fallback);

  // Records an error for every field that none of the calls above has read.
  void Finish();

  // Records an error for the field `name`.
  void Fail(const std::string& name, ResultCode code, std::string message);

  // Returns the JSON path of the field `name`.
  std::string PathOf(const std::string& name) const;

 private:
  bool Require(const std::string& name);
  void MarkRead(const std::string& name);

  Poco::JSON::Object::Ptr object_;
  std::string path_;
  FieldErrors& errors_;
  std::vector<std::string> read_fields_;
};

// Returns `text` as a quoted JSON string.
std::string JsonQuote(std::string_view text);

}  // namespace goldcrest

#endif  // GOLDCREST_JSON_READER_H_
