#ifndef MATRIX_REPORT_H_
#define MATRIX_REPORT_H_

// Writes the report of a run, which is published as docs/fault-matrix.md.

#include <cstddef>
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

// Returns the report as Markdown: the command, the table of single faults, the cells of two faults
// and the failures.
std::string ReportText(const std::map<std::string, Outcome>& outcomes, const std::string& command,
                       std::size_t not_run, int64_t total_s);

}  // namespace anvilcroft::matrix

#endif  // MATRIX_REPORT_H_
