#ifndef ANVILCROFT_JSON_H_
#define ANVILCROFT_JSON_H_

// Parses untrusted JSON and CBOR with a nesting limit, and reads typed, range-checked fields.
//
//   Result<nlohmann::json> parsed = ParseJson(body);
//   if (!parsed) return tl::unexpected<Error>(parsed.error());
//   JsonFields fields(*parsed, "patch");
//   const std::string id = fields.String("patch_id");
//   const int64_t base = fields.Integer("base", 0, kMaxVersion);
//   Result<void> read = fields.Finish();
//
// JsonFields records the first error. A getter that fails returns a default value, so callers read
// all fields and check for an error once, with Finish().

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "anvilcroft/error.h"

namespace anvilcroft {

constexpr int kMaxJsonDepth = 32;

// Parses `text`. Fails with kInvalidArgument on malformed JSON or invalid UTF-8, with the byte
// offset as the error's part, and with kTooLarge on nesting deeper than kMaxJsonDepth.
Result<nlohmann::json> ParseJson(std::string_view text);

// Decodes CBOR with the same errors as ParseJson. Also fails with kInvalidArgument on a string of
// indefinite length.
Result<nlohmann::json> ParseCbor(std::string_view bytes);

// Serializes `value` without white space. Replaces invalid UTF-8 instead of failing.
std::string DumpJson(const nlohmann::json& value);

// Like DumpJson, with line breaks and an indentation of two spaces.
std::string IndentJson(const nlohmann::json& value);

class JsonFields {
 public:
  // Reads the fields of `object`, which must outlive this. `path` is the prefix of the part in
  // errors. Records an error if `object` is not a JSON object.
  JsonFields(const nlohmann::json& object, std::string path);

  // A required, non-empty string of at most `max_bytes` bytes.
  std::string String(const char* key, std::size_t max_bytes = 1024);
  std::string StringOr(const char* key, const std::string& fallback, std::size_t max_bytes = 1024);
  // A required integer within [min, max].
  int64_t Integer(const char* key, int64_t min, int64_t max);
  int64_t IntegerOr(const char* key, int64_t fallback, int64_t min, int64_t max);
  double NumberOr(const char* key, double fallback, double min, double max);
  bool Bool(const char* key);
  bool BoolOr(const char* key, bool fallback);
  // A required array of at most `max_size` elements, or a required object. Returns an empty one on
  // error.
  const nlohmann::json& Array(const char* key, std::size_t max_size);
  const nlohmann::json& Object(const char* key);
  // An optional value of any type; null if it is missing.
  const nlohmann::json& Optional(const char* key);
  std::vector<std::string> Strings(const char* key, std::size_t max_size);

  // Records an error if the object has a field that none of the calls above requested.
  void RejectUnknownFields();

  // Records kInvalidArgument for the field `key`, or for the object itself if `key` is "". Does
  // nothing if an error is already recorded.
  void RecordError(const char* key, std::string message);

  bool Ok() const { return this->outcome.has_value(); }

  // The first error, or success.
  Result<void> Finish() const { return this->outcome; }

 private:
  const nlohmann::json* Find(const char* key, bool required);

  const nlohmann::json& object;
  std::string path;
  std::set<std::string> requested;
  Result<void> outcome;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_JSON_H_
