#include "anvilcroft/settings_problem.h"

namespace anvilcroft {
namespace {

// Escapes control characters, so that a problem stays on one line and can't send control sequences
// to a terminal.
std::string EscapeControlCharacters(const std::string& text) {
  constexpr char kHexDigits[] = "0123456789abcdef";
  std::string line;
  for (const unsigned char c : text) {
    if (c < ' ' || c == 0x7f) {
      line += "\\x";
      line += kHexDigits[c >> 4];
      line += kHexDigits[c & 0xf];
    } else {
      line += static_cast<char>(c);
    }
  }
  return line;
}

}  // namespace

std::string SettingsProblem::ToString() const {
  std::string text = this->file;
  if (this->line > 0) text += ":" + std::to_string(this->line);
  if (!this->key.empty()) text += ": " + this->key;
  return EscapeControlCharacters(text + ": found " + this->found + ", expected " + this->expected);
}

nlohmann::json SettingsProblem::ToJson() const {
  return {{"file", this->file},
          {"line", this->line},
          {"key", this->key},
          {"found", this->found},
          {"expected", this->expected}};
}

}  // namespace anvilcroft
