#include "anvilcroft/log_line.h"

#include <algorithm>
#include <cctype>

namespace anvilcroft {
namespace {

constexpr std::string_view kTimePattern = "dddd-dd-ddTdd:dd:dd.dddZ ";

bool IsDigit(char c) { return std::isdigit(static_cast<unsigned char>(c)) != 0; }

// Returns the position of the first timestamp in `text`, or npos.
std::size_t FindTime(std::string_view text) {
  for (std::size_t at = 0; at + kTimePattern.size() <= text.size(); ++at) {
    std::size_t i = 0;
    while (i < kTimePattern.size() &&
           (kTimePattern[i] == 'd' ? IsDigit(text[at + i]) : text[at + i] == kTimePattern[i])) {
      ++i;
    }
    if (i == kTimePattern.size()) return at;
  }
  return std::string_view::npos;
}

bool IsKey(std::string_view word) {
  return !word.empty() && std::all_of(word.begin(), word.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '_';
  });
}

// Returns the position of the first word of the form key=..., or the size of `text` if there is
// none.
std::size_t FindFields(std::string_view text) {
  std::size_t word = 0;
  while (word < text.size()) {
    const std::size_t end = std::min(text.find(' ', word), text.size());
    const std::size_t equals = text.find('=', word);
    if (equals < end && IsKey(text.substr(word, equals - word))) return word;
    word = end + 1;
  }
  return text.size();
}

int HexDigit(char c) {
  if (IsDigit(c)) return c - '0';
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

// Reads the quoted value whose opening quote is at `at`, and moves `at` past the closing quote.
std::string ReadQuoted(std::string_view text, std::size_t& at) {
  std::string value;
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] != '\\' || at + 1 >= text.size()) {
      value += text[at];
      continue;
    }
    ++at;
    if (text[at] == 'x' && at + 2 < text.size() && HexDigit(text[at + 1]) >= 0 &&
        HexDigit(text[at + 2]) >= 0) {
      value += static_cast<char>(HexDigit(text[at + 1]) * 16 + HexDigit(text[at + 2]));
      at += 2;
    } else {
      value += text[at];
    }
  }
  at = std::min(at + 1, text.size());
  return value;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) text.remove_suffix(1);
  return text;
}

// Moves the text before the first `end` from `text` into `token` and skips `end`. Returns false if
// `text` doesn't contain `end`.
bool ConsumeUntil(std::string_view end, std::string_view& text, std::string& token) {
  const std::size_t at = text.find(end);
  if (at == std::string_view::npos) return false;
  token = std::string(text.substr(0, at));
  text.remove_prefix(at + end.size());
  return true;
}

}  // namespace

std::string LogLine::Field(std::string_view key) const {
  for (const auto& [name, value] : this->fields) {
    if (name == key) return value;
  }
  return "";
}

bool LogLine::HasValue(std::string_view value) const {
  return std::any_of(this->fields.begin(), this->fields.end(),
                     [value](const auto& field) { return field.second == value; });
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  if (text.size() > kMaxLogLineBytes) return std::nullopt;
  const std::size_t time = FindTime(text);
  if (time == std::string_view::npos) return std::nullopt;
  LogLine line;
  line.source = std::string(Trim(text.substr(0, time)));
  text = Trim(text.substr(time));
  if (!ConsumeUntil(" ", text, line.time) || !ConsumeUntil(" ", text, line.level) ||
      !ConsumeUntil(": ", text, line.part) || !IsKey(line.part)) {
    return std::nullopt;
  }
  std::size_t at = FindFields(text);
  line.sentence = std::string(Trim(text.substr(0, at)));
  while (at < text.size()) {
    const std::size_t equals = text.find('=', at);
    if (equals == std::string_view::npos) break;
    const std::string key(text.substr(at, equals - at));
    at = equals + 1;
    std::string value;
    if (at < text.size() && text[at] == '"') {
      value = ReadQuoted(text, at);
    } else {
      const std::size_t end = std::min(text.find(' ', at), text.size());
      value = std::string(text.substr(at, end - at));
      at = end;
    }
    line.fields.emplace_back(key, std::move(value));
    while (at < text.size() && text[at] == ' ') ++at;
  }
  return line;
}

}  // namespace anvilcroft
