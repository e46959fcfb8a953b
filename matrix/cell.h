#ifndef MATRIX_CELL_H_
#define MATRIX_CELL_H_

// The fault matrix: the steps of the request paths (rows), the faults (columns) and the cells.
//
// A cell is named "step/fault" (one fault), "step/a+b" (both faults start at the same time) or
// "step/a,b" (b starts when a ends; "step/a,a" injects the same fault twice).

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "matrix/cell_run.h"

namespace anvilcroft::matrix {

using Action = std::function<void(CellRun&, Task&)>;

// A step of a request path, at which faults are injected.
struct Step {
  std::string name;
  Workload work;
  std::string table;                             // the table that table-lost faults apply to
  Action prepare;                                // runs before the workload starts; may be empty
  std::function<bool(CellRun&, Task&)> reached;  // whether to inject the faults now
  std::set<std::string> faults;                  // names of the applicable faults
  double tokens_per_second = 100;
};

struct Fault {
  std::string name;
  // Injects the fault and returns the action that ends it (may be empty).
  std::function<Action(CellRun&, Task&)> inject;
  Duration duration{0};
  bool needs_links = false;  // whether the site needs links (links.h)
};

struct Cell {
  std::string name;
  const Step* step = nullptr;
  std::vector<const Fault*> faults;
  bool simultaneous = true;  // if false, each fault starts when the previous one ends
};

const std::vector<Step>& Steps();
const std::vector<Fault>& Faults();

// The reason why a fault does not apply to a step, or "" if it applies.
std::string ReasonNotApplicable(const Step& step, const Fault& fault);

// Fails with kInvalidArgument on an unknown step or fault.
Result<Cell> ParseCell(const std::string& name);

// One cell for each step and applicable fault.
std::vector<std::string> SingleCells();
// `count` distinct random cells of two faults.
std::vector<std::string> PairCells(std::size_t count, std::mt19937_64& random);
// The fixed subset of cells for --quick.
std::vector<std::string> QuickCells();

// Runs the cell on its own site and prints a line of JSON {name, passed, failures, summary}.
// Returns the exit code: 0 if the cell passed, else 1.
int RunCell(const Cell& cell, const fakes::LocalCluster::Options& options, uint64_t seed);

}  // namespace anvilcroft::matrix

#endif  // MATRIX_CELL_H_
