#ifndef TESTING_PLATFORM_ENDLESS_FORMS_H_
#define TESTING_PLATFORM_ENDLESS_FORMS_H_

// Answers without end in all forms, and the memory that a reader of one takes.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "anvilcroft/runtime.h"
#include "testing/raw_listener.h"

namespace anvilcroft::testing {

constexpr std::size_t kMiB = 1 << 20;

// Returns `unit` as often as it takes to fill about 16 KiB.
std::string Fill(const std::string& unit);

// The largest amount of memory that this process has had since the construction, above that at the
// construction.
class PeakMemory {
 public:
  PeakMemory();
  std::size_t Growth() const;

 private:
  static std::size_t Read(const std::string& field);

  std::size_t before = 0;
};

// A form of an answer without end.
struct EndlessForm {
  std::string name;
  std::string head;  // "ID" stands for the id of the request
  // What follows the head until the connection is closed.
  std::function<std::string(int64_t& next_event)> next;
};

// The head of an answer of a target, with `fields`.
std::string EndlessHead(const std::string& status, const std::string& fields);

// Forms of answers to a generation, with bodies of each of `lines`.
std::vector<EndlessForm> EndlessForms(const std::vector<std::string>& lines);

// Reads the head of a request. Returns its id, which is empty if it has none; nullopt: the
// connection was closed.
std::optional<std::string> ReadRequestId(Task& task, RawListener::Socket& socket);

// Answers the request `id` in `form` until the reader closes the connection. Returns the number of
// bytes written.
std::size_t WriteEndless(Task& task, RawListener::Socket& socket, const EndlessForm& form,
                         const std::string& id);

}  // namespace anvilcroft::testing

#endif  // TESTING_PLATFORM_ENDLESS_FORMS_H_
