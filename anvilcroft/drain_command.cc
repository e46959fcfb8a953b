#include <ostream>
#include <random>

#include "anvilcroft/client_options.h"
#include "anvilcroft/command.h"
#include "anvilcroft/command_line.h"
#include "anvilcroft/exit_code.h"
#include "anvilcroft/json.h"
#include "anvilcroft/trace_context.h"

namespace anvilcroft {
namespace {

// Attempts to submit a patch while other operators submit patches concurrently.
constexpr int kMaxAttempts = 10;

int DrainInstance(const std::vector<std::string>& arguments, std::ostream& out,
                  std::ostream& error) {
  CommandLine line("anvilcroft drain instance",
                   "Starts the graceful shutdown of the instance at the given address.");
  ClientOptions client_options;
  client_options.AddTo(line);
  if (const auto code = line.Parse(arguments, out, error)) return *code;
  const auto client = client_options.MakeClient();
  if (!client) {
    ReportError(client.error(), error);
    return kExitUsage;
  }
  const auto response = client->Post("/v1/admin/drain", nlohmann::json::object());
  if (!response) return ReportError(response.error(), error);
  out << "draining\n";
  return kExitOk;
}

// Submits the patch based on the current version, and retries if another patch was accepted in
// between. All attempts use the same patch id. Returns the new version.
Result<int64_t> SubmitToLatestVersion(const OperatorClient& client, const std::string& patch_id,
                                      const std::string& author, const nlohmann::json& patch) {
  Error last{ErrorCode::kStaleBase, "other patches were accepted first on every attempt", "",
             Ran::kNo};
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto config = client.Get("/v1/config");
    if (!config) return tl::unexpected<Error>(config.error());
    JsonFields fields(*config, "");
    const int64_t base = fields.Integer("version", 0, INT64_MAX);
    if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
    const auto response =
        client.Post("/v1/config/patches",
                    {{"patch_id", patch_id}, {"base", base}, {"author", author}, {"patch", patch}});
    if (response) {
      JsonFields accepted(*response, "");
      return accepted.IntegerOr("version", base + 1, 0, INT64_MAX);
    }
    if (response.error().code != ErrorCode::kStaleBase) {
      return tl::unexpected<Error>(response.error());
    }
    last = response.error();
  }
  return tl::unexpected<Error>(last);
}

int DrainTarget(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& error) {
  CommandLine line("anvilcroft drain target",
                   "Drains a target: submits a configuration patch, after which the target is "
                   "given no new work.");
  TCLAP::UnlabeledValueArg<std::string> id("id", "Id of the target", true, "", "ID");
  TCLAP::ValueArg<std::string> author("", "author", "Author of the patch", true, "", "NAME");
  TCLAP::SwitchArg undo("", "undo", "Assign new work to the target again");
  ClientOptions client_options;
  line.Add(id);
  line.Add(author);
  line.Add(undo);
  client_options.AddTo(line);
  if (const auto code = line.Parse(arguments, out, error)) return *code;
  const auto client = client_options.MakeClient();
  if (!client) {
    ReportError(client.error(), error);
    return kExitUsage;
  }
  std::random_device seed;
  std::mt19937_64 random((static_cast<uint64_t>(seed()) << 32) | seed());
  const std::string patch_id = "drain-" + RandomHex(random, 16);
  // In a merge patch, null removes the entry.
  const nlohmann::json drained_value = undo.getValue() ? nlohmann::json() : nlohmann::json(true);
  const nlohmann::json patch = {{"drained_targets", {{id.getValue(), drained_value}}}};
  const auto version = SubmitToLatestVersion(*client, patch_id, author.getValue(), patch);
  if (!version) return ReportError(version.error(), error);
  out << "accepted as version " << *version << "\n";
  return kExitOk;
}

}  // namespace

Command DrainCommand() {
  const auto run = [](const std::vector<std::string>& arguments, std::ostream& out,
                      std::ostream& error) -> int {
    return RunSubcommand("anvilcroft drain",
                         {{"instance", "Shut down an instance gracefully", DrainInstance},
                          {"target", "Stop assigning new work to a target", DrainTarget}},
                         arguments, out, error);
  };
  return Command{"drain", "Drain an instance or a target", run};
}

}  // namespace anvilcroft
