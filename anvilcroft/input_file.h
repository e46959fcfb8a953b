#ifndef ANVILCROFT_INPUT_FILE_H_
#define ANVILCROFT_INPUT_FILE_H_

// Reads small files written by hand, with a limit on their size.

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/error.h"

namespace anvilcroft {

// Returns the contents of the file at `path`. Fails with kNotFound if it can't be read and with
// kTooLarge if it is larger than `max_bytes`; the part of the error is the path.
Result<std::string> ReadInputFile(const std::string& path, std::size_t max_bytes);

// Parses the JSON file at `path`, which may have at most 1 MiB. Fails like ReadInputFile and
// ParseJson.
Result<nlohmann::json> ReadJsonFile(const std::string& path);

}  // namespace anvilcroft

#endif  // ANVILCROFT_INPUT_FILE_H_
