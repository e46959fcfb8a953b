#include <ostream>

#include "anvilcroft/client_options.h"
#include "anvilcroft/command.h"
#include "anvilcroft/command_line.h"
#include "anvilcroft/exit_code.h"
#include "anvilcroft/input_file.h"
#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

int Submit(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& error) {
  CommandLine line("anvilcroft patch submit",
                   "Submits a JSON merge patch (RFC 7386) for the configuration document. It is "
                   "safe to run the same command again after an unknown outcome: the patch is "
                   "applied only once.");
  TCLAP::ValueArg<int64_t> base("", "base", "Configuration version that the patch is based on",
                                true, 0, "VERSION");
  TCLAP::ValueArg<std::string> file("", "file", "JSON merge patch", true, "", "FILE");
  TCLAP::ValueArg<std::string> author("", "author", "Author of the patch", true, "", "NAME");
  TCLAP::ValueArg<std::string> id("", "id", "Unique id of the patch", true, "", "ID");
  TCLAP::SwitchArg json("", "json", "Print the response as JSON");
  ClientOptions client_options;
  for (TCLAP::Arg* option : std::initializer_list<TCLAP::Arg*>{&base, &file, &author, &id, &json}) {
    line.Add(*option);
  }
  client_options.AddTo(line);
  if (const auto code = line.Parse(arguments, out, error)) return *code;
  const auto client = client_options.MakeClient();
  if (!client) {
    ReportError(client.error(), error);
    return kExitUsage;
  }
  if (base.getValue() < 0) {
    error << "anvilcroft patch submit: --base must not be negative\n";
    return kExitUsage;
  }
  const auto patch = ReadJsonFile(file.getValue());
  if (!patch) {
    ReportError(patch.error(), error);
    return kExitBadSettings;
  }
  const auto response = client->Post("/v1/config/patches", {{"patch_id", id.getValue()},
                                                            {"base", base.getValue()},
                                                            {"author", author.getValue()},
                                                            {"patch", *patch}});
  if (!response) return ReportError(response.error(), error);
  if (json.getValue()) {
    out << DumpJson(*response) << "\n";
  } else {
    JsonFields fields(*response, "");
    out << "accepted as version " << fields.IntegerOr("version", 0, 0, INT64_MAX) << "\n";
  }
  return kExitOk;
}

int Show(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& error) {
  CommandLine line("anvilcroft patch show", "Shows an accepted patch and its author.");
  TCLAP::UnlabeledValueArg<int64_t> version("version", "Configuration version", true, 0, "VERSION");
  TCLAP::SwitchArg json("", "json", "Print JSON on one line");
  ClientOptions client_options;
  line.Add(version);
  line.Add(json);
  client_options.AddTo(line);
  if (const auto code = line.Parse(arguments, out, error)) return *code;
  const auto client = client_options.MakeClient();
  if (!client) {
    ReportError(client.error(), error);
    return kExitUsage;
  }
  const auto row = client->Get("/v1/config/patches/" + std::to_string(version.getValue()));
  if (!row) return ReportError(row.error(), error);
  out << (json.getValue() ? DumpJson(*row) : IndentJson(*row)) << "\n";
  return kExitOk;
}

}  // namespace

Command PatchCommand() {
  const auto run = [](const std::vector<std::string>& arguments, std::ostream& out,
                      std::ostream& error) -> int {
    return RunSubcommand("anvilcroft patch",
                         {{"submit", "Submit a configuration patch", Submit},
                          {"show", "Show an accepted patch", Show}},
                         arguments, out, error);
  };
  return Command{"patch", "Submit a configuration patch or show one", run};
}

}  // namespace anvilcroft
