#include <ostream>

#include "anvilcroft/client_options.h"
#include "anvilcroft/command.h"
#include "anvilcroft/command_line.h"
#include "anvilcroft/exit_code.h"
#include "anvilcroft/json.h"
#include "anvilcroft/text_table.h"

namespace anvilcroft {
namespace {

// A resource that can be listed: its name on the command line, the path of the request, and the
// leftmost columns of the table. Without columns the response is printed as JSON.
struct Listing {
  std::string name;
  std::string path;
  std::vector<std::string> first_columns;
};

const std::vector<Listing>& Listings() {
  static const std::vector<Listing> listings = {
      {"members",
       "/v1/members",
       {"id", "zone", "region", "state", "in_contact", "api_address", "peer_address"}},
      {"deployments", "/v1/deployments", {"deployment", "zones", "service", "kind", "operations"}},
      {"targets", "/v1/targets", {"id", "kind", "service", "zone", "phase", "eligible", "address"}},
      {"samples", "/v1/samples", {"sample", "state", "attempt", "take_id"}},
      {"config", "/v1/config", {}}};
  return listings;
}

const Listing* FindListing(const std::string& name) {
  for (const Listing& listing : Listings()) {
    if (listing.name == name) return &listing;
  }
  return nullptr;
}

// Returns one row for each service, because the list of a deployment's services does not fit into a
// table cell.
nlohmann::json ServiceRows(const nlohmann::json& deployments) {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& deployment : deployments) {
    if (!deployment.is_object()) continue;
    const nlohmann::json services = deployment.value("services", nlohmann::json::array());
    for (const auto& service : services) {
      if (!service.is_object()) continue;
      nlohmann::json row = service;
      row["deployment"] = deployment.value("deployment", nlohmann::json());
      row["zones"] = deployment.value("zones", nlohmann::json());
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

std::string Render(const Listing& listing, const nlohmann::json& body) {
  const auto list = body.is_object() ? body.find(listing.name) : body.end();
  if (listing.first_columns.empty() || !body.is_object() || list == body.end() ||
      !list->is_array()) {
    return IndentJson(body) + "\n";
  }
  return RenderTable(listing.name == "deployments" ? ServiceRows(*list) : *list,
                     listing.first_columns);
}

}  // namespace

Command ListCommand() {
  const auto run = [](const std::vector<std::string>& arguments, std::ostream& out,
                      std::ostream& error) -> int {
    CommandLine line("anvilcroft list",
                     "Lists members, deployments, targets, the samples of a trainer, or the "
                     "current configuration.");
    TCLAP::UnlabeledValueArg<std::string> what(
        "what", "members, deployments, targets, samples or config", true, "", "WHAT");
    TCLAP::ValueArg<std::string> trainer("", "trainer", "Trainer whose samples are listed", false,
                                         "", "NAME");
    TCLAP::SwitchArg json("", "json", "Print the response as JSON");
    ClientOptions client_options;
    line.Add(what);
    line.Add(trainer);
    line.Add(json);
    client_options.AddTo(line);
    if (const auto code = line.Parse(arguments, out, error)) return *code;
    const Listing* listing = FindListing(what.getValue());
    if (listing == nullptr) {
      error << "anvilcroft list: cannot list \"" << what.getValue()
            << "\"; expected members, deployments, targets, samples or config\n";
      return kExitUsage;
    }
    if ((listing->name == "samples") != trainer.isSet()) {
      error << "anvilcroft list: --trainer is required for samples and invalid for other lists\n";
      return kExitUsage;
    }
    const auto client = client_options.MakeClient();
    if (!client) {
      ReportError(client.error(), error);
      return kExitUsage;
    }
    const std::string query =
        trainer.isSet() ? "?trainer=" + PercentEncode(trainer.getValue()) : "";
    const auto body = client->Get(listing->path + query);
    if (!body) return ReportError(body.error(), error);
    out << (json.getValue() ? DumpJson(*body) + "\n" : Render(*listing, *body));
    return kExitOk;
  };
  return Command{"list", "List members, deployments, targets, samples or the configuration", run};
}

}  // namespace anvilcroft
