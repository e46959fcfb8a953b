#ifndef ANVILCROFT_LIMITS_SHARED_BODY_H_
#define ANVILCROFT_LIMITS_SHARED_BODY_H_

// The immutable body of an HTTP message. Copies share one text, so that a request that is
// forwarded, retained for a second attempt and hedged is stored once. The text keeps its charge on
// the memory budget (memory_budget.h) until its last copy is gone.

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace anvilcroft {

class SharedBody {
 public:
  SharedBody() = default;
  // Implicit, because a body is a text to its users.
  SharedBody(std::string text)  // NOLINT(google-explicit-constructor)
      : SharedBody(std::move(text), nullptr) {}
  SharedBody(const char* text)  // NOLINT(google-explicit-constructor)
      : SharedBody(std::string(text)) {}
  // `charge` is released after the text.
  SharedBody(std::string text, std::shared_ptr<void> charge) {
    if (text.empty() && !charge) return;
    this->storage = std::make_shared<const Storage>(Storage{std::move(charge), std::move(text)});
  }

  const std::string& Text() const {
    static const std::string empty_text;
    return this->storage ? this->storage->text : empty_text;
  }
  operator const std::string&() const {  // NOLINT(google-explicit-constructor)
    return this->Text();
  }
  // Whether the text is charged to the memory budget.
  bool Charged() const { return this->storage && this->storage->charge; }
  std::size_t size() const { return this->Text().size(); }
  bool empty() const { return this->Text().empty(); }

  friend bool operator==(const SharedBody& a, const SharedBody& b) {
    return a.storage == b.storage || a.Text() == b.Text();
  }
  friend bool operator!=(const SharedBody& a, const SharedBody& b) { return !(a == b); }

 private:
  struct Storage {
    std::shared_ptr<void> charge;
    std::string text;  // destroyed before its charge
  };

  std::shared_ptr<const Storage> storage;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIMITS_SHARED_BODY_H_
