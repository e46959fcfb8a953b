#include "anvilcroft/client_options.h"

#include <ostream>
#include <utility>
#include <vector>

#include "anvilcroft/exit_code.h"

namespace anvilcroft {

ClientOptions::ClientOptions()
    : instances("", "instance",
                "Address of an instance; may be repeated, the next one is tried if no connection "
                "can be made",
                true, "IP:PORT"),
      timeout("", "timeout", "Timeout of each request in seconds (default 15)", false, 15,
              "SECONDS") {}

void ClientOptions::AddTo(CommandLine& line) {
  line.Add(this->instances);
  line.Add(this->timeout);
}

Result<OperatorClient> ClientOptions::MakeClient() {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : this->instances.getValue()) {
    auto endpoint = ParseEndpoint(text);
    if (!endpoint) return tl::unexpected<Error>(endpoint.error());
    endpoints.push_back(std::move(*endpoint));
  }
  const double wait = this->timeout.getValue();
  if (!(wait >= 0.1 && wait <= 3600)) {
    return Fail(ErrorCode::kInvalidArgument, "must be 0.1 to 3600 seconds", "--timeout");
  }
  return OperatorClient(std::move(endpoints), milliseconds(static_cast<int64_t>(wait * 1000)));
}

int ReportError(const Error& problem, std::ostream& error) {
  error << "anvilcroft: " << ErrorCodeName(problem.code) << ": " << problem.message;
  if (!problem.part.empty()) error << " (" << problem.part << ")";
  error << "; ran: " << RanName(problem.ran) << "\n";
  return ExitCodeOf(problem);
}

}  // namespace anvilcroft
