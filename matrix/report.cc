#include "matrix/report.h"

#include <sstream>

#include "matrix/cell.h"

namespace anvilcroft::matrix {
namespace {

const char* ResultText(const std::map<std::string, Outcome>& outcomes, const std::string& name) {
  const auto found = outcomes.find(name);
  if (found == outcomes.end()) return "not run";
  return found->second.passed ? "passed" : "**failed**";
}

}  // namespace

std::string ReportText(const std::map<std::string, Outcome>& outcomes, const std::string& command,
                       std::size_t not_run, int64_t total_s) {
  std::ostringstream text;
  std::size_t passed = 0;
  for (const auto& [name, outcome] : outcomes) passed += outcome.passed ? 1 : 0;
  text << "# Fault matrix\n\nWritten by `" << command << "`.\n"
       << passed << " of " << outcomes.size() << " cells passed in " << total_s << " s, " << not_run
       << " were not run. Each cell runs a site of real processes on loopback; the checks use "
          "the logs of the fakes\nand what callers and the trainer received.\n\n## Single "
          "faults\n\n";
  std::map<std::string, char> notes;
  text << "| step |";
  for (const Fault& fault : Faults()) text << " " << fault.name << " |";
  text << "\n|---|";
  for (std::size_t i = 0; i < Faults().size(); ++i) text << "---|";
  text << "\n";
  for (const Step& step : Steps()) {
    text << "| " << step.name << " |";
    for (const Fault& fault : Faults()) {
      const std::string reason = ReasonNotApplicable(step, fault);
      if (reason.empty()) {
        text << " " << ResultText(outcomes, step.name + "/" + fault.name) << " |";
      } else {
        const char next = static_cast<char>('a' + notes.size());
        text << " (" << notes.emplace(reason, next).first->second << ") |";
      }
    }
    text << "\n";
  }
  text << "\nNot applicable:\n";
  for (const auto& [reason, letter] : notes) text << "- (" << letter << ") " << reason << "\n";
  text << "\n## Two faults\n\n`a+b`: both start at the same time; `a,b`: b starts when a ends.\n\n"
       << "| cell | outcome |\n|---|---|\n";
  for (const auto& [name, outcome] : outcomes) {
    if (name.find_first_of("+,") == std::string::npos) continue;
    text << "| " << name << " | " << ResultText(outcomes, name) << " |\n";
  }
  text << "\n## Failures\n\n";
  for (const auto& [name, outcome] : outcomes) {
    if (outcome.passed) continue;
    text << "- `" << name << "` (" << outcome.summary << ")\n";
    for (const std::string& failure : outcome.failures) text << "  - " << failure << "\n";
  }
  return text.str();
}

}  // namespace anvilcroft::matrix
