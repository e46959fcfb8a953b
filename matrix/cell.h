#ifndef MATRIX_CELL_H_
#define MATRIX_CELL_H_

// The table of the matrix: steps of paths (rows), faults (columns), and the cells made of them.
//
// A cell is named "step/fault" (one fault), "step/a+b" (both at the same moment) or "step/a,b" (b
// at the moment at which a ends; "step/a,a" is the same fault twice).

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "matrix/cell_run.h"

namespace anvilcroft::matrix {

using Action = std::function<void(CellRun&, Task&)>;

// One step of a path.
struct Step {
  std::string name;
  Work work;
  std::string table;                             // where faults of the table service apply
  Action prepare;                                // before the work; may be empty
  std::function<bool(CellRun&, Task&)> reached;  // the moment of the injection
  std::set<std::string> faults;                  // the columns that apply
  double tokens_per_second = 100;
};

struct Fault {
  std::string name;
  // Injects the fault and returns what ends it (may be empty).
  std::function<Action(CellRun&, Task&)> inject;
  Duration lasts{0};
  bool needs_links = false;  // whether the site must have links (links.h)
};

struct Cell {
  std::string name;
  const Step* step = nullptr;
  std::vector<const Fault*> faults;
  bool at_once = true;  // otherwise each fault begins when the one before it ends
};

const std::vector<Step>& Steps();
const std::vector<Fault>& Faults();

// Why a fault does not apply to a step.
std::string ReasonNotApplicable(const Step& step, const Fault& fault);

// Fails with kInvalidArgument on an unknown step or fault.
Result<Cell> ParseCell(const std::string& name);

// Every applicable single fault.
std::vector<std::string> SingleCells();
// A choice of `count` cells of two faults.
std::vector<std::string> PairCells(std::size_t count, std::mt19937_64& random);
// The fixed part for --quick.
std::vector<std::string> QuickCells();

// Runs the cell on a site of its own. Prints a line of JSON {name, passed, failures, summary}.
int RunCell(const Cell& cell, const fakes::LocalCluster::Options& options, uint64_t seed);

}  // namespace anvilcroft::matrix

#endif  // MATRIX_CELL_H_
