#ifndef ANVILCROFT_YAML_TREE_H_
#define ANVILCROFT_YAML_TREE_H_

// Parses a small YAML document, with limits, into a tree that records the line of every node.
//
//   tl::expected<YamlTree, YamlError> tree = ParseYaml(text);
//
// Unlike YAML::Node, a tree keeps all entries of a duplicate key and records the lines of keys as
// well as of values. Aliases are rejected, so the size of a tree is bounded by that of the text.

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
  // The text of a scalar, and whether it was quoted.
  std::string scalar;
  bool quoted = false;
  // The elements of a sequence, or the entries of a map as alternating keys and values, in the
  // order of the text.
  std::vector<YamlTree> children;
};

struct YamlError {
  int line = 0;
  std::string message;
};

// Parses the single document in `text`; empty text results in a null node. Fails on malformed YAML,
// a second document, an alias, or nesting deeper than kMaxYamlDepth. Never throws.
tl::expected<YamlTree, YamlError> ParseYaml(std::string_view text);

}  // namespace anvilcroft

#endif  // ANVILCROFT_YAML_TREE_H_
