#include "anvilcroft/json.h"

#include <utility>

namespace anvilcroft {
namespace {

using nlohmann::json;

const json& Null() {
  static const json value;
  return value;
}

const json& EmptyArray() {
  static const json value = json::array();
  return value;
}

const json& EmptyObject() {
  static const json value = json::object();
  return value;
}

// Builds a json value and stops the parser as soon as the nesting limit is exceeded.
class BoundedSax : public nlohmann::detail::json_sax_dom_parser<json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<json>;

  explicit BoundedSax(json& root) : Base(root, false) {}

  bool start_object(std::size_t size) {  // NOLINT(readability-identifier-naming)
    return this->EnterContainer() && Base::start_object(this->UnknownSize(size));
  }
  bool start_array(std::size_t size) {  // NOLINT(readability-identifier-naming)
    return this->EnterContainer() && Base::start_array(this->UnknownSize(size));
  }
  bool end_object() {  // NOLINT(readability-identifier-naming)
    --this->depth;
    return Base::end_object();
  }
  bool end_array() {  // NOLINT(readability-identifier-naming)
    --this->depth;
    return Base::end_array();
  }
  template <typename Exception>
  bool parse_error(std::size_t at, const std::string& token,  // NOLINT
                   const Exception& error) {
    this->position = at;
    return Base::parse_error(at, token, error);
  }

  bool too_deep = false;
  std::size_t position = 0;

 private:
  bool EnterContainer() {
    this->too_deep = ++this->depth > kMaxJsonDepth;
    return !this->too_deep;
  }
  // Hides the announced size from the base class, which throws an exception if it exceeds its
  // maximum; a CBOR header can announce any size. The number of elements is bounded by the length
  // of the input.
  std::size_t UnknownSize(std::size_t) const { return static_cast<std::size_t>(-1); }

  int depth = 0;
};

// Whether `bytes` contains a string of indefinite length. The parser reads the chunks of such a
// string recursively, without calling the SAX handler, so nested ones would overflow the stack.
// json::to_cbor never writes them. Returns false on malformed input, which the parser rejects.
bool HasIndefiniteCborString(std::string_view bytes) {
  constexpr unsigned kBytes = 2;  // major types of RFC 8949
  constexpr unsigned kText = 3;
  constexpr unsigned kSimple = 7;
  constexpr unsigned kIndefinite = 31;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto head = static_cast<unsigned char>(bytes[at++]);
    const unsigned major = head >> 5;
    const unsigned info = head & 0x1f;
    const bool is_string = major == kBytes || major == kText;
    if (is_string && info == kIndefinite) return true;
    // The argument is in the initial byte or in the 1, 2, 4 or 8 bytes that follow it.
    uint64_t argument = info;
    if (info >= 24 && info <= 27) {
      argument = 0;
      const std::size_t width = std::size_t{1} << (info - 24);
      if (bytes.size() - at < width) return false;
      for (std::size_t i = 0; i < width; ++i) {
        argument = (argument << 8) | static_cast<unsigned char>(bytes[at++]);
      }
    } else if (info > 27 && major != kSimple && info != kIndefinite) {
      return false;  // reserved value, which the parser rejects
    }
    if (is_string) {
      if (bytes.size() - at < argument) return false;
      at += static_cast<std::size_t>(argument);
    }
  }
  return false;
}

Result<json> ParseAs(std::string_view input, json::input_format_t format) {
  json root;
  BoundedSax sax(root);
  const bool parsed = json::sax_parse(input.begin(), input.end(), &sax, format);
  if (sax.too_deep) {
    return Fail(ErrorCode::kTooLarge,
                "nested deeper than " + std::to_string(kMaxJsonDepth) + " levels");
  }
  if (!parsed) {
    return Fail(ErrorCode::kInvalidArgument,
                format == json::input_format_t::json ? "malformed JSON" : "malformed CBOR",
                "byte " + std::to_string(sax.position));
  }
  return root;
}

}  // namespace

Result<json> ParseJson(std::string_view text) { return ParseAs(text, json::input_format_t::json); }

Result<json> ParseCbor(std::string_view bytes) {
  if (HasIndefiniteCborString(bytes)) {
    return Fail(ErrorCode::kInvalidArgument, "CBOR strings of indefinite length are not accepted");
  }
  return ParseAs(bytes, json::input_format_t::cbor);
}

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string IndentJson(const json& value) {
  return value.dump(2, ' ', false, json::error_handler_t::replace);
}

JsonFields::JsonFields(const json& object, std::string path)
    : object(object), path(std::move(path)) {
  if (!object.is_object()) {
    this->outcome = Fail(ErrorCode::kInvalidArgument, "must be an object", this->path);
  }
}

const json* JsonFields::Find(const char* key, bool required) {
  this->requested.insert(key);
  if (!this->object.is_object()) return nullptr;
  const auto found = this->object.find(key);
  if (found != this->object.end() && !found->is_null()) return &*found;
  if (required) this->RecordError(key, "is missing");
  return nullptr;
}

void JsonFields::RecordError(const char* key, std::string message) {
  if (!this->outcome) return;
  const bool whole = *key == '\0';
  const std::string part = this->path.empty() ? key : whole ? this->path : this->path + "." + key;
  this->outcome = Fail(ErrorCode::kInvalidArgument, std::move(message), part);
}

std::string JsonFields::String(const char* key, std::size_t max_bytes) {
  const json* value = this->Find(key, true);
  if (value == nullptr) return "";
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    this->RecordError(key, "must be a non-empty string");
    return "";
  }
  return this->StringOr(key, "", max_bytes);
}

std::string JsonFields::StringOr(const char* key, const std::string& fallback,
                                 std::size_t max_bytes) {
  const json* value = this->Find(key, false);
  if (value == nullptr) return fallback;
  if (!value->is_string()) {
    this->RecordError(key, "must be a string");
    return fallback;
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() > max_bytes) {
    this->RecordError(key, "is longer than " + std::to_string(max_bytes) + " bytes");
    return fallback;
  }
  return text;
}

int64_t JsonFields::Integer(const char* key, int64_t min, int64_t max) {
  if (this->Find(key, true) == nullptr) return min;
  return this->IntegerOr(key, min, min, max);
}

int64_t JsonFields::IntegerOr(const char* key, int64_t fallback, int64_t min, int64_t max) {
  const json* value = this->Find(key, false);
  if (value == nullptr) return fallback;
  const bool fits = value->is_number_integer() &&
                    !(value->is_number_unsigned() && value->get<uint64_t>() > INT64_MAX);
  if (!fits || value->get<int64_t>() < min || value->get<int64_t>() > max) {
    this->RecordError(
        key, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
  }
  return value->get<int64_t>();
}

double JsonFields::NumberOr(const char* key, double fallback, double min, double max) {
  const json* value = this->Find(key, false);
  if (value == nullptr) return fallback;
  if (!value->is_number() || !(value->get<double>() >= min && value->get<double>() <= max)) {
    this->RecordError(
        key, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback;
  }
  return value->get<double>();
}

bool JsonFields::Bool(const char* key) {
  return this->Find(key, true) != nullptr && this->BoolOr(key, false);
}

bool JsonFields::BoolOr(const char* key, bool fallback) {
  const json* value = this->Find(key, false);
  if (value == nullptr) return fallback;
  if (!value->is_boolean()) {
    this->RecordError(key, "must be true or false");
    return fallback;
  }
  return value->get<bool>();
}

const json& JsonFields::Array(const char* key, std::size_t max_size) {
  const json* value = this->Find(key, true);
  if (value == nullptr) return EmptyArray();
  if (!value->is_array() || value->size() > max_size) {
    this->RecordError(key, "must be an array of at most " + std::to_string(max_size) + " elements");
    return EmptyArray();
  }
  return *value;
}

const json& JsonFields::Object(const char* key) {
  const json* value = this->Find(key, true);
  if (value == nullptr) return EmptyObject();
  if (!value->is_object()) {
    this->RecordError(key, "must be an object");
    return EmptyObject();
  }
  return *value;
}

const json& JsonFields::Optional(const char* key) {
  const json* value = this->Find(key, false);
  return value == nullptr ? Null() : *value;
}

std::vector<std::string> JsonFields::Strings(const char* key, std::size_t max_size) {
  std::vector<std::string> strings;
  for (const json& value : this->Array(key, max_size)) {
    if (!value.is_string()) {
      this->RecordError(key, "must contain only strings");
      return {};
    }
    strings.push_back(value.get<std::string>());
  }
  return strings;
}

void JsonFields::RejectUnknownFields() {
  if (!this->object.is_object()) return;
  for (const auto& [key, value] : this->object.items()) {
    if (this->requested.count(key) == 0) this->RecordError(key.c_str(), "is not a known field");
  }
}

}  // namespace anvilcroft
