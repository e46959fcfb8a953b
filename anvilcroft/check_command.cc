#include <ostream>

#include "anvilcroft/command.h"
#include "anvilcroft/command_line.h"
#include "anvilcroft/config_document.h"
#include "anvilcroft/exit_code.h"
#include "anvilcroft/front_settings.h"
#include "anvilcroft/input_file.h"
#include "anvilcroft/json.h"
#include "anvilcroft/settings_loader.h"

namespace anvilcroft {
namespace {

std::vector<SettingsProblem> CheckSettings(const std::string& path) {
  const auto settings = LoadSettings(path);
  return settings ? std::vector<SettingsProblem>() : settings.error();
}

std::vector<SettingsProblem> CheckServeSettings(const std::string& path) {
  const auto settings = LoadFrontSettings(path);
  return settings ? std::vector<SettingsProblem>() : settings.error();
}

std::vector<SettingsProblem> CheckDocument(const std::string& path) {
  const auto json = ReadJsonFile(path);
  if (!json) {
    return {SettingsProblem{path, 0, json.error().part, json.error().message, "a JSON document"}};
  }
  const auto document = ConfigDocument::Decode(1, *json);
  if (document) return {};
  return {SettingsProblem{path, 0, document.error().part,
                          "a field that " + document.error().message, "a configuration document"}};
}

}  // namespace

Command CheckCommand() {
  const auto run = [](const std::vector<std::string>& arguments, std::ostream& out,
                      std::ostream& error) -> int {
    CommandLine line("anvilcroft check",
                     "Checks settings files and a configuration document without running an "
                     "instance. Prints one line for each problem.");
    TCLAP::ValueArg<std::string> settings("", "settings", "YAML settings of an instance", false, "",
                                          "FILE");
    TCLAP::ValueArg<std::string> serve("", "serve-settings",
                                       "YAML settings of an instance on a hosted platform", false,
                                       "", "FILE");
    TCLAP::ValueArg<std::string> document("", "document", "JSON configuration document", false, "",
                                          "FILE");
    TCLAP::SwitchArg json("", "json", "Print {ok, problems} as JSON");
    line.Add(settings);
    line.Add(serve);
    line.Add(document);
    line.Add(json);
    if (const auto code = line.Parse(arguments, out, error)) return *code;
    if (!settings.isSet() && !serve.isSet() && !document.isSet()) {
      error << "anvilcroft check: give --settings, --serve-settings or --document\n";
      return kExitUsage;
    }
    std::vector<SettingsProblem> problems;
    if (settings.isSet()) problems = CheckSettings(settings.getValue());
    if (serve.isSet()) {
      for (auto& problem : CheckServeSettings(serve.getValue())) problems.push_back(problem);
    }
    if (document.isSet()) {
      for (auto& problem : CheckDocument(document.getValue())) problems.push_back(problem);
    }
    if (json.getValue()) {
      nlohmann::json list = nlohmann::json::array();
      for (const auto& problem : problems) list.push_back(problem.ToJson());
      out << DumpJson({{"ok", problems.empty()}, {"problems", list}}) << "\n";
    } else {
      for (const auto& problem : problems) error << problem.ToString() << "\n";
      if (problems.empty()) out << "ok\n";
    }
    return problems.empty() ? kExitOk : kExitBadSettings;
  };
  return Command{"check", "Check a settings file or a configuration document", run};
}

}  // namespace anvilcroft
