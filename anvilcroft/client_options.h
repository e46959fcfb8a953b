#ifndef ANVILCROFT_CLIENT_OPTIONS_H_
#define ANVILCROFT_CLIENT_OPTIONS_H_

// The options that every command that calls an instance has: --instance, --timeout.
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

  // The client for the parsed options. Fails with kInvalidArgument on a malformed address or time.
  Result<OperatorClient> MakeClient();

 private:
  TCLAP::MultiArg<std::string> instances;
  TCLAP::ValueArg<double> timeout;
};

// Prints `problem` for people and returns its exit code.
int ReportError(const Error& problem, std::ostream& error);

}  // namespace anvilcroft

#endif  // ANVILCROFT_CLIENT_OPTIONS_H_
