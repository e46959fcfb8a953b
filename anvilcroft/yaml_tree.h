#ifndef ANVILCROFT_YAML_TREE_H_
#define ANVILCROFT_YAML_TREE_H_

// A small YAML document with the line of every node, read with bounds.
//
//   tl::expected<YamlTree, YamlError> tree = ParseYaml(text);
//
// Unlike YAML::Node, a tree keeps both entries of a duplicate key, has a line for keys as well as
// values, and holds no aliases, so that its size is bounded by the size of the text.

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace anvilcroft {

constexpr int kMaxYamlDepth = 8;

struct YamlTree {
  enum class Kind { kNull, kScalar, kSequence, kMap };

  Kind kind = Kind::kNull;
  int line = 1;
  // A scalar's text, and whether it stood in quotes.
  std::string scalar;
  bool quoted = false;
  // The elements of a sequence; of a map each key followed by its value, in the order of the text.
  std::vector<YamlTree> children;
};

struct YamlError {
  int line = 0;
  std::string message;
};

// Parses the single document in `text`; an empty text is a null node. Fails on malformed YAML, a
// second document, an alias, and nesting deeper than kMaxYamlDepth. Never throws.
tl::expected<YamlTree, YamlError> ParseYaml(std::string_view text);

}  // namespace anvilcroft

#endif  // ANVILCROFT_YAML_TREE_H_
