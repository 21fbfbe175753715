#include "goldcrest/json_reader.h"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>
#include <Poco/UTF8Encoding.h>
#include <Poco/UTF8String.h>

namespace goldcrest {
namespace {

// Returns true if `text` is well-formed UTF-8.
bool IsUtf8(const std::string& text) {
  const Poco::UTF8Encoding encoding;
  const auto* position = reinterpret_cast<const unsigned char*>(text.data());
  const auto* end = position + text.size();
  while (position < end) {
    int length = 1;
    int code_point = encoding.queryConvert(position, length);
    while (code_point < -1 && position - code_point <= end) {
      length = -code_point;
      code_point = encoding.queryConvert(position, length);
    }
    if (code_point < 0) {
      return false;
    }
    position += length;
  }
  return true;
}

// Returns what is wrong with the size of `text` as JSON, empty if nothing is.
// Checked before parsing, because the parser recurses over the text and keeps
// all its values.
std::string_view SizeError(const std::string& text) {
  int depth = 0;
  size_t values = 1;  // each comma, brace and bracket begins another one
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
      continue;
    }
    if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      ++values;
      if (++depth > kMaxJsonDepth) {
        return "the JSON is nested too deep";
      }
    } else if (c == '}' || c == ']') {
      --depth;
    } else if (c == ',') {
      ++values;
    }
    if (values > kMaxJsonValues) {
      return "the JSON has too many values";
    }
  }
  return "";
}

FieldError Malformed(std::string message) {
  return {ResultCode::kMalformedBody, "", std::move(message)};
}

}  // namespace

tl::expected<Poco::Dynamic::Var, FieldError> ParseJson(
    const std::string& text) {
  const std::string_view size_error = SizeError(text);
  if (!size_error.empty()) {
    return tl::make_unexpected(Malformed(std::string(size_error)));
  }
  if (!IsUtf8(text)) {
    return tl::make_unexpected(Malformed("the body is not UTF-8"));
  }
  try {
    Poco::JSON::Parser parser;
    Poco::Dynamic::Var value = parser.parse(text);
    if (value.isEmpty()) {
      return tl::make_unexpected(Malformed("the body is empty"));
    }
    return value;
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected(
        Malformed("the body is not JSON: " + error.message()));
  } catch (const std::exception&) {
    return tl::make_unexpected(Malformed("the body is not JSON"));
  }
}

ObjectReader::ObjectReader(const Poco::Dynamic::Var& value,
                           std::string path,
                           FieldErrors& errors)
    : path_(std::move(path)), errors_(errors) {
  if (!value.isEmpty() && value.type() == typeid(Poco::JSON::Object::Ptr)) {
    object_ = value.extract<Poco::JSON::Object::Ptr>();
    return;
  }
  errors_.push_back(
      {ResultCode::kMalformedBody, path_, "expected a JSON object"});
}

bool ObjectReader::Has(const std::string& name) const {
  return ok() && object_->has(name);
}

std::string ObjectReader::PathOf(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

void ObjectReader::Fail(const std::string& name,
                        ResultCode code,
                        std::string message) {
  errors_.push_back({code, PathOf(name), std::move(message)});
}

void ObjectReader::MarkRead(const std::string& name) {
  read_fields_.push_back(name);
}

bool ObjectReader::Require(const std::string& name) {
  MarkRead(name);
  if (!ok()) {
    return false;
  }
  if (!object_->has(name)) {
    Fail(name, ResultCode::kMissingField, "this field is required");
    return false;
  }
  return true;
}

std::string ObjectReader::Text(const std::string& name, TextRange range) {
  if (!Require(name)) {
    return "";
  }
  const Poco::Dynamic::Var value = object_->get(name);
  if (!value.isString()) {
    Fail(name, ResultCode::kOutOfRange, "expected a string");
    return "";
  }
  std::string text = value.extract<std::string>();
  if (text.size() < range.low || text.size() > range.high) {
    Fail(name, ResultCode::kOutOfRange,
         "expected " + std::to_string(range.low) + " to " +
             std::to_string(range.high) + " bytes");
    return "";
  }
  return text;
}

int64_t ObjectReader::Integer(const std::string& name, IntegerRange range) {
  if (!Require(name)) {
    return range.low;
  }
  const Poco::Dynamic::Var value = object_->get(name);
  if (!value.isInteger() || value.isBoolean()) {
    Fail(name, ResultCode::kOutOfRange, "expected an integer");
    return range.low;
  }
  int64_t number = 0;
  try {
    number = value.convert<int64_t>();
  } catch (const Poco::Exception&) {
    Fail(name, ResultCode::kOutOfRange, "expected a smaller integer");
    return range.low;
  }
  if (number < range.low || number > range.high) {
    Fail(name, ResultCode::kOutOfRange,
         "expected " + std::to_string(range.low) + " to " +
             std::to_string(range.high));
    return range.low;
  }
  return number;
}

double ObjectReader::Number(const std::string& name, NumberRange range) {
  if (!Require(name)) {
    return range.low;
  }
  const Poco::Dynamic::Var value = object_->get(name);
  if (!value.isNumeric() || value.isBoolean()) {
    Fail(name, ResultCode::kOutOfRange, "expected a number");
    return range.low;
  }
  const double number = value.convert<double>();
  if (!(number >= range.low && number <= range.high)) {
    Fail(name, ResultCode::kOutOfRange,
         "expected " + std::to_string(range.low) + " to " +
             std::to_string(range.high));
    return range.low;
  }
  return number;
}

bool ObjectReader::Boolean(const std::string& name) {
  if (!Require(name)) {
    return false;
  }
  const Poco::Dynamic::Var value = object_->get(name);
  if (!value.isBoolean()) {
    Fail(name, ResultCode::kOutOfRange, "expected true or false");
    return false;
  }
  return value.extract<bool>();
}

Poco::JSON::Array::Ptr ObjectReader::Array(const std::string& name,
                                           size_t max_size) {
  if (!Require(name)) {
    return new Poco::JSON::Array;
  }
  Poco::JSON::Array::Ptr array = object_->getArray(name);
  if (array.isNull()) {
    Fail(name, ResultCode::kOutOfRange, "expected an array");
    return new Poco::JSON::Array;
  }
  if (array->size() > max_size) {
    Fail(name, ResultCode::kOutOfRange,
         "expected at most " + std::to_string(max_size) + " entries");
    return new Poco::JSON::Array;
  }
  return array;
}

Poco::Dynamic::Var ObjectReader::Value(const std::string& name) {
  if (!Require(name)) {
    return {};
  }
  return object_->get(name);
}

std::string ObjectReader::Text(const std::string& name,
                               TextRange range,
                               const std::string& fallback) {
  MarkRead(name);
  return Has(name) ? Text(name, range) : fallback;
}

int64_t ObjectReader::Integer(const std::string& name,
                              IntegerRange range,
                              int64_t fallback) {
  MarkRead(name);
  return Has(name) ? Integer(name, range) : fallback;
}

bool ObjectReader::Boolean(const std::string& name, bool fallback) {
  MarkRead(name);
  return Has(name) ? Boolean(name) : fallback;
}

double ObjectReader::Number(const std::string& name,
                            NumberRange range,
                            double fallback) {
  MarkRead(name);
  return Has(name) ? Number(name, range) : fallback;
}

void ObjectReader::Finish() {
  if (!ok()) {
    return;
  }
  for (const std::string& name : object_->getNames()) {
    if (std::find(read_fields_.begin(), read_fields_.end(), name) ==
        read_fields_.end()) {
      Fail(name, ResultCode::kUnknownField, "this field is not known");
    }
  }
}

std::string JsonQuote(std::string_view text) {
  return Poco::toJSON(std::string(text));
}

}  // namespace goldcrest
