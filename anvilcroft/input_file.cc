#include "anvilcroft/input_file.h"

#include <fstream>

#include "anvilcroft/json.h"

namespace anvilcroft {

Result<std::string> ReadInputFile(const std::string& path, std::size_t max_bytes) {
  std::ifstream in(path, std::ios::binary);
  std::string text(max_bytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  // A directory can be opened, but reading it fails without reaching the end of the file.
  if (!in.is_open() || in.bad() || (in.fail() && !in.eof())) {
    return Fail(ErrorCode::kNotFound, "the file cannot be read", path);
  }
  if (text.size() > max_bytes) {
    return Fail(ErrorCode::kTooLarge,
                "the file is larger than " + std::to_string(max_bytes) + " bytes", path);
  }
  return text;
}

Result<nlohmann::json> ReadJsonFile(const std::string& path) {
  const auto text = ReadInputFile(path, 1 << 20);
  if (!text) return tl::unexpected<Error>(text.error());
  auto json = ParseJson(*text);
  if (!json) {
    return tl::unexpected<Error>(json.error().WithPart(path + ", " + json.error().part));
  }
  return json;
}

}  // namespace anvilcroft
