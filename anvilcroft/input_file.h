#ifndef ANVILCROFT_INPUT_FILE_H_
#define ANVILCROFT_INPUT_FILE_H_

// Reading small files that people wrote, with a bound on their size.

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/error.h"

namespace anvilcroft {

// The bytes of the file at `path`. Fails with kNotFound if it cannot be read and with kTooLarge if
// it is larger than `max_bytes`; the part is the path.
Result<std::string> ReadInputFile(const std::string& path, std::size_t max_bytes);

// The JSON in the file at `path`, at most 1 MiB. Fails as ReadInputFile and ParseJson do.
Result<nlohmann::json> ReadJsonFile(const std::string& path);

}  // namespace anvilcroft

#endif  // ANVILCROFT_INPUT_FILE_H_
