// The fault matrix: injects every fault at every step of the request paths, on real processes.
//
//   fault_matrix ANVILCROFT FAKES [--only SUBSTRING] [--quick] [--known-red FILE] [--seed N]
//                [--pairs N] [--report FILE] [--limit-s N]
//
// Each cell runs in a separate process of this program (option --cell) with its own site. Exits
// with 0 only if every cell ran, and each passed or is named in the file of --known-red.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>

#include "anvilcroft/json.h"
#include "anvilcroft/log.h"
#include "matrix/cell.h"
#include "matrix/report.h"

namespace anvilcroft::matrix {
namespace {

// Each wait of a cell has its own limit; this one only ends a cell whose process hangs.
constexpr Duration kCellLimit = seconds(180);
// The maximum number of processes at the same time; the processes of one cell (itself, the
// platform, the targets, the instances and a trainer); and the links of the targets and the table
// service.
constexpr std::size_t kMaxProcesses = 148;
constexpr std::size_t kCellProcesses = 19;
constexpr std::size_t kLinkProcesses = 9;

std::size_t ProcessCount(const std::string& name) {
  const auto cell = ParseCell(name);
  const bool links = cell && std::any_of(cell->faults.begin(), cell->faults.end(),
                                         [](const Fault* fault) { return fault->needs_links; });
  return kCellProcesses + (links ? kLinkProcesses : 0);
}

struct RunningCell {
  std::string name;
  std::unique_ptr<fakes::ChildProcess> process;
  TimePoint since;
  std::size_t processes;
};

Outcome ReadOutcome(RunningCell& running) {
  Outcome outcome;
  outcome.seconds = static_cast<double>(ToMillis(SteadyNow() - running.since)) / 1000;
  while (const auto line = running.process->ReadLine(100)) {
    const json parsed = json::parse(*line, nullptr, false);
    if (!parsed.is_object()) continue;
    outcome.passed = parsed.value("passed", false);
    outcome.failures = parsed.value("failures", std::vector<std::string>());
    outcome.summary = parsed.value("summary", "");
    return outcome;
  }
  outcome.failures = {"harness: the cell printed no result"};
  return outcome;
}

std::map<std::string, Outcome> RunCells(const std::vector<std::string>& cells,
                                        const std::vector<std::string>& command,
                                        TimePoint last_start) {
  std::map<std::string, Outcome> outcomes;
  std::vector<RunningCell> running;
  std::size_t next = 0;
  std::size_t processes = 0;
  const auto may_start = [&] { return next < cells.size() && SteadyNow() < last_start; };
  while (may_start() || !running.empty()) {
    while (may_start() && processes + ProcessCount(cells[next]) <= kMaxProcesses) {
      std::vector<std::string> arguments = command;
      arguments.insert(arguments.end(), {"--cell", cells[next]});
      auto process = fakes::ChildProcess::Start(arguments, "/dev/null");
      if (process) {
        const std::size_t needed = ProcessCount(cells[next]);
        running.push_back({cells[next], std::move(*process), SteadyNow(), needed});
        processes += needed;
      }
      ++next;
    }
    for (std::size_t i = 0; i < running.size();) {
      // On SIGTERM the cell stops its site before it exits.
      if (SteadyNow() - running[i].since > kCellLimit) running[i].process->Signal(SIGTERM);
      if (running[i].process->Running()) {
        ++i;
        continue;
      }
      const Outcome outcome = ReadOutcome(running[i]);
      std::cout << (outcome.passed ? "passed  " : "FAILED  ") << running[i].name << " ("
                << outcome.seconds << " s; " << outcome.summary << ")\n";
      for (const std::string& failure : outcome.failures)
        std::cout << "        " << failure << "\n";
      std::cout.flush();
      outcomes[running[i].name] = outcome;
      processes -= running[i].processes;
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
    }
    const auto waited = fakes::ChildProcess::Start({"/bin/sleep", "0.1"}, "/dev/null");
    if (waited) (void)(*waited)->Wait(1000);
  }
  return outcomes;
}

// Returns the words of a file without trailing commas, or none if the file does not exist.
std::set<std::string> ReadWords(const std::string& path) {
  std::set<std::string> words;
  std::ifstream in(path);
  for (std::string word; in >> word;) {
    if (word.back() == ',') word.pop_back();
    words.insert(word);
  }
  return words;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("fault matrix on real processes", ' ', ANVILCROFT_VERSION);
  TCLAP::UnlabeledValueArg<std::string> anvilcroft("anvilcroft", "binary", true, "", "path", line);
  TCLAP::UnlabeledValueArg<std::string> fakes("fakes", "binary", true, "", "path", line);
  TCLAP::ValueArg<std::string> only("", "only", "runs only cells whose name contains this text",
                                    false, "", "text", line);
  TCLAP::SwitchArg quick("", "quick", "runs a fixed subset of the cells", line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the random choices", false, 1, "integer",
                                 line);
  TCLAP::ValueArg<std::size_t> pairs("", "pairs", "number of cells with two faults", false, 24,
                                     "integer", line);
  TCLAP::ValueArg<std::string> report("", "report", "file for the report", false, "", "path", line);
  TCLAP::ValueArg<int64_t> limit("", "limit-s", "starts no further cell after this many seconds",
                                 false, 1050, "integer", line);
  TCLAP::ValueArg<std::string> known_red("", "known-red",
                                         "file with the names of cells that are expected to fail",
                                         false, "", "path", line);
  TCLAP::ValueArg<std::string> cell("", "cell", "runs only this cell, in this process", false, "",
                                    "name", line);
  TCLAP::SwitchArg keep("", "keep-files", "keeps the settings and logs of the site of --cell",
                        line);
  line.parse(argc, argv);
  InitLog(LogLevel::kError);

  if (!cell.getValue().empty()) {
    const auto parsed = ParseCell(cell.getValue());
    if (!parsed) {
      std::cerr << parsed.error().message << ": " << parsed.error().part << "\n";
      return 2;
    }
    fakes::LocalCluster::Options options;
    options.anvilcroft_binary = anvilcroft.getValue();
    options.fakes_binary = fakes.getValue();
    options.site = fakes::KaanchPhera();
    options.keep_files = keep.getValue();
    options.site.model_engines = 5;
    options.site.app_engines = 3;
    return RunCell(*parsed, options, seed.getValue());
  }
  std::mt19937_64 random(seed.getValue());
  std::vector<std::string> cells = quick.getValue() ? QuickCells() : SingleCells();
  if (!quick.getValue()) {
    const auto chosen = PairCells(pairs.getValue(), random);
    cells.insert(cells.end(), chosen.begin(), chosen.end());
  }
  // Mixes short cells with long ones, and cells with links with cells without.
  std::shuffle(cells.begin(), cells.end(), random);
  const auto not_selected = [&](const std::string& name) {
    return name.find(only.getValue()) == std::string::npos;
  };
  cells.erase(std::remove_if(cells.begin(), cells.end(), not_selected), cells.end());
  const std::vector<std::string> command = {argv[0], anvilcroft.getValue(), fakes.getValue(),
                                            "--seed", std::to_string(seed.getValue())};
  const TimePoint begin = SteadyNow();
  const auto outcomes = RunCells(cells, command, begin + seconds(limit.getValue()));
  std::size_t passed = 0;
  for (const auto& [name, outcome] : outcomes) passed += outcome.passed ? 1 : 0;
  const int64_t total_s = ToMillis(SteadyNow() - begin) / 1000;
  std::cout << passed << " of " << outcomes.size() << " cells passed in " << total_s << " s; "
            << cells.size() - outcomes.size() << " not run\n";
  if (!report.getValue().empty()) {
    std::string text = "fault_matrix ANVILCROFT FAKES";
    for (int i = 3; i < argc; ++i) text += std::string(" ") + argv[i];
    std::ofstream(report.getValue())
        << ReportText(outcomes, text, cells.size() - outcomes.size(), total_s);
  }
  const std::set<std::string> known = ReadWords(known_red.getValue());
  bool as_expected = outcomes.size() == cells.size();
  for (const auto& [name, outcome] : outcomes) {
    if (outcome.passed) continue;
    if (known.count(name) != 0) std::cout << "known failure: " << name << "\n";
    as_expected = as_expected && known.count(name) != 0;
  }
  return as_expected ? 0 : 1;
}

}  // namespace
}  // namespace anvilcroft::matrix

int main(int argc, char** argv) { return anvilcroft::matrix::Main(argc, argv); }
