#ifndef ANVILCROFT_JSON_H_
#define ANVILCROFT_JSON_H_

// Reading JSON from outside with bounds, and typed fields with errors that name the offending part.
//
//   Result<nlohmann::json> parsed = ParseJson(body);
//   if (!parsed) return tl::unexpected<Error>(parsed.error());
//   JsonFields fields(*parsed, "patch");
//   const std::string id = fields.String("patch_id");
//   const int64_t base = fields.Integer("base", 0, kMaxVersion);
//   Result<void> read = fields.Finish();
//
// JsonFields keeps the first error and returns defaults after it, so that callers check once.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "anvilcroft/error.h"

namespace anvilcroft {

constexpr int kMaxJsonDepth = 32;

// Parses `text`. Fails with kInvalidArgument on malformed JSON or invalid UTF-8 (the part gives
// the byte offset) and with kTooLarge on nesting deeper than kMaxJsonDepth.
Result<nlohmann::json> ParseJson(std::string_view text);

// Decodes CBOR under the same bounds as ParseJson. Strings of indefinite length are refused.
Result<nlohmann::json> ParseCbor(std::string_view bytes);

// The text of `value`; invalid UTF-8 is replaced, so that this cannot fail.
std::string DumpJson(const nlohmann::json& value);

// The same with line breaks and two spaces of indentation, for people.
std::string IndentJson(const nlohmann::json& value);

class JsonFields {
 public:
  // Reads the fields of `object`; `path` names it in errors. A value that is no object is an error.
  JsonFields(const nlohmann::json& object, std::string path);

  // A required string of at most `max_bytes` bytes, not empty.
  std::string String(const char* key, std::size_t max_bytes = 1024);
  std::string StringOr(const char* key, const std::string& fallback, std::size_t max_bytes = 1024);
  // A required integer within [min, max].
  int64_t Integer(const char* key, int64_t min, int64_t max);
  int64_t IntegerOr(const char* key, int64_t fallback, int64_t min, int64_t max);
  double NumberOr(const char* key, double fallback, double min, double max);
  bool Bool(const char* key);
  bool BoolOr(const char* key, bool fallback);
  // A required array or object; an empty one if it is missing (with the error kept).
  const nlohmann::json& Array(const char* key, std::size_t max_size);
  const nlohmann::json& Object(const char* key);
  // The value as it is, or null if it is missing.
  const nlohmann::json& Optional(const char* key);
  std::vector<std::string> Strings(const char* key, std::size_t max_size);

  // Reports fields that none of the calls above asked for.
  void RejectUnknownFields();

  // Records an error found by the caller in `key`, or in the object itself if `key` is "".
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
