#ifndef ANVILCROFT_CLIENT_OPTIONS_H_
#define ANVILCROFT_CLIENT_OPTIONS_H_

// The options shared by all commands that call an instance: --instance and --timeout.
//
//   ClientOptions client_options;
//   client_options.AddTo(line);
//   ... parse ...
//   const auto client = client_options.MakeClient();

#include <string>

#include "anvilcroft/command_line.h"
#include "anvilcroft/error.h"
#include "anvilcroft/operator_client.h"

namespace anvilcroft {

class ClientOptions {
 public:
  ClientOptions();

  void AddTo(CommandLine& line);

  // Returns a client for the parsed options. Fails with kInvalidArgument on a malformed address or
  // a timeout out of range.
  Result<OperatorClient> MakeClient();

 private:
  TCLAP::MultiArg<std::string> instances;
  TCLAP::ValueArg<double> timeout;
};

// Writes `problem` as one line of text to `error` and returns the matching exit code.
int ReportError(const Error& problem, std::ostream& error);

}  // namespace anvilcroft

#endif  // ANVILCROFT_CLIENT_OPTIONS_H_
