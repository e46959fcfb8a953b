#include "anvilcroft/yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <exception>
#include <optional>
#include <sstream>
#include <utility>

namespace anvilcroft {
namespace {

// Builds the tree from parser events. Throws YAML::Exception, which aborts parsing, at the first
// construct that is not allowed.
class TreeBuilder : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t) override {
    this->AddNode(mark, YamlTree::Kind::kNull);
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    throw YAML::Exception(mark, "an alias is not allowed");
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t,
                const std::string& value) override {
    YamlTree& node = this->AddNode(mark, YamlTree::Kind::kScalar);
    node.scalar = value;
    node.quoted = tag != "?";  // the parser's tag of a plain scalar
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {
    this->OpenContainer(mark, YamlTree::Kind::kSequence);
  }
  void OnSequenceEnd() override { this->CloseContainer(); }

  void OnMapStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {
    this->OpenContainer(mark, YamlTree::Kind::kMap);
  }
  void OnMapEnd() override { this->CloseContainer(); }

  YamlTree ReleaseRoot() { return std::move(this->root); }

 private:
  YamlTree& AddNode(const YAML::Mark& mark, YamlTree::Kind kind) {
    YamlTree* node = &this->root;
    if (!this->open_containers.empty()) {
      this->open_containers.back().children.emplace_back();
      node = &this->open_containers.back().children.back();
    }
    node->kind = kind;
    node->line = mark.line + 1;
    return *node;
  }

  void OpenContainer(const YAML::Mark& mark, YamlTree::Kind kind) {
    if (static_cast<int>(this->open_containers.size()) >= kMaxYamlDepth) {
      throw YAML::Exception(mark,
                            "nested deeper than " + std::to_string(kMaxYamlDepth) + " levels");
    }
    YamlTree node;
    node.kind = kind;
    node.line = mark.line + 1;
    this->open_containers.push_back(std::move(node));
  }

  void CloseContainer() {
    YamlTree node = std::move(this->open_containers.back());
    this->open_containers.pop_back();
    if (this->open_containers.empty()) {
      this->root = std::move(node);
    } else {
      this->open_containers.back().children.push_back(std::move(node));
    }
  }

  YamlTree root;
  std::vector<YamlTree> open_containers;  // the sequences and maps around the current position
};

}  // namespace

tl::expected<YamlTree, YamlError> ParseYaml(std::string_view text) {
  try {
    std::istringstream in{std::string(text)};
    YAML::Parser parser(in);
    TreeBuilder builder;
    if (!parser.HandleNextDocument(builder)) return YamlTree();
    TreeBuilder second;
    if (parser.HandleNextDocument(second)) {
      return tl::unexpected<YamlError>(
          {second.ReleaseRoot().line, "a second document is not allowed"});
    }
    return builder.ReleaseRoot();
  } catch (const YAML::Exception& problem) {
    return tl::unexpected<YamlError>({problem.mark.line + 1, problem.msg});
  } catch (const std::exception& problem) {
    return tl::unexpected<YamlError>({0, problem.what()});
  }
}

}  // namespace anvilcroft
