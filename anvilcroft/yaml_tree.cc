#include "anvilcroft/yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <exception>
#include <optional>
#include <sstream>
#include <utility>

namespace anvilcroft {
namespace {

// Builds the tree from parser events and ends the parse at the first thing that is not allowed.
class TreeBuilder : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t) override {
    this->Add(mark, YamlTree::Kind::kNull);
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    throw YAML::Exception(mark, "an alias is not allowed here");
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t,
                const std::string& value) override {
    YamlTree& node = this->Add(mark, YamlTree::Kind::kScalar);
    node.scalar = value;
    node.quoted = tag != "?";  // the parser's tag of a plain scalar
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {
    this->Open(mark, YamlTree::Kind::kSequence);
  }
  void OnSequenceEnd() override { this->Close(); }

  void OnMapStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {
    this->Open(mark, YamlTree::Kind::kMap);
  }
  void OnMapEnd() override { this->Close(); }

  YamlTree Take() { return std::move(this->root); }

 private:
  YamlTree& Add(const YAML::Mark& mark, YamlTree::Kind kind) {
    YamlTree* node = &this->root;
    if (!this->open.empty()) {
      this->open.back().children.emplace_back();
      node = &this->open.back().children.back();
    }
    node->kind = kind;
    node->line = mark.line + 1;
    return *node;
  }

  void Open(const YAML::Mark& mark, YamlTree::Kind kind) {
    if (static_cast<int>(this->open.size()) >= kMaxYamlDepth) {
      throw YAML::Exception(mark,
                            "nested deeper than " + std::to_string(kMaxYamlDepth) + " levels");
    }
    YamlTree node;
    node.kind = kind;
    node.line = mark.line + 1;
    this->open.push_back(std::move(node));
  }

  void Close() {
    YamlTree node = std::move(this->open.back());
    this->open.pop_back();
    if (this->open.empty()) {
      this->root = std::move(node);
    } else {
      this->open.back().children.push_back(std::move(node));
    }
  }

  YamlTree root;
  std::vector<YamlTree> open;  // the containers that enclose the present place
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
      return tl::unexpected<YamlError>({second.Take().line, "a second document is not allowed"});
    }
    return builder.Take();
  } catch (const YAML::Exception& problem) {
    return tl::unexpected<YamlError>({problem.mark.line + 1, problem.msg});
  } catch (const std::exception& problem) {
    return tl::unexpected<YamlError>({0, problem.what()});
  }
}

}  // namespace anvilcroft
