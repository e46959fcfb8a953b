// The cases of the second review that are scripts. cases NAME BINARY FOLDER RECORD; TROUBLE=0
// leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
// not run.

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "anvilcroft/log.h"
#include "cases.hpp"

int main(int argc, char** argv) {
  using namespace anvilcroft;
  using namespace anvilcroft::review;
  const std::map<std::string, Case> cases = Cases();
  if (argc != 5 || cases.count(argv[1]) == 0) {
    std::cerr << "usage: cases NAME BINARY FOLDER RECORD" << std::endl;
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool disrupted = trouble == nullptr || std::string(trouble) != "0";
  InitLog(LogLevel::kError);
  Runtime runtime;
  int code = 2;
  {
    Site site(runtime, {argv[2], argv[3], argv[4]});
    runtime.Spawn([&](Task& task) {
      site.Note(std::string("case ") + argv[1] + (disrupted ? "" : ", without the disruption"));
      code = cases.at(argv[1])(task, site, disrupted);
      site.Note("exit " + std::to_string(code));
      runtime.Stop();
    });
    runtime.Run();
    runtime.EndTasks();
    for (auto& instance : site.instances) instance->process.reset();
  }
  return code;
}
