#ifndef MATRIX_REPORT_H_
#define MATRIX_REPORT_H_

// The page docs/fault-matrix.md.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvilcroft::matrix {

struct Outcome {
  bool passed = false;
  std::vector<std::string> failures;
  std::string summary;
  double seconds = 0;
};

// Markdown: the command, the table of single faults, the cells of two faults and the failures.
std::string ReportText(const std::map<std::string, Outcome>& outcomes, uint64_t seed,
                       std::size_t pairs, int64_t total_s);

}  // namespace anvilcroft::matrix

#endif  // MATRIX_REPORT_H_
