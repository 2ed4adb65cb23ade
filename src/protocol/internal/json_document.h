#ifndef PROTOCOL_INTERNAL_JSON_DOCUMENT_H_
#define PROTOCOL_INTERNAL_JSON_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "state/state.h"

namespace gooseberrygap::protocol {

// Collects what is wrong in a document, and lists the first 100 faults. Not
// thread-safe.
class Faults {
 public:
  void Add(absl::string_view path,
           absl::string_view found,
           absl::string_view allowed);
  bool empty() const { return lines_.empty(); }
  // Returns an error that lists the faults. `document` names the document.
  state::Error ToError(state::ErrorKind kind, absl::string_view document) const;

 private:
  std::vector<std::string> lines_;  // The first ones.
  size_t count_ = 0;
};

// Operators' documents refuse unknown keys, since a misspelt key would leave
// its default in force. Answers of daemons ignore them, so that a newer daemon
// may add keys.
enum class UnknownKeys { kRefuse, kIgnore };

// A value of a document together with its path. Not thread-safe.
class JsonNode {
 public:
  // `value` and `faults` must outlive the node.
  JsonNode(const nlohmann::json* value,
           std::string path,
           UnknownKeys unknown_keys,
           Faults* faults);

  const nlohmann::json& value() const { return *value_; }
  // Returns the node under the key. Precondition: the value is an object that
  // has the key.
  JsonNode Member(absl::string_view key) const;
  // Returns the node at the position. Precondition: the value is an array with
  // more than `index` elements.
  JsonNode Element(size_t index) const;
  // Records that this value is not among the allowed ones.
  void Refuse(absl::string_view allowed) const;
  // Records that the key is missing.
  void RefuseMissing(absl::string_view key, absl::string_view allowed) const;
  // Records the keys of this object that are not in `known`.
  void CheckKeys(absl::Span<const absl::string_view> known) const;

 private:
  const nlohmann::json* value_;
  std::string path_;
  UnknownKeys unknown_keys_;
  Faults* faults_;
};

// Returns the parsed text. Syntax errors, trailing text and duplicate keys are
// added to `faults`. Thread-safe.
nlohmann::json ReadJson(absl::string_view text, Faults* faults);

enum class Layout { kOneLine, kIndented };

// Returns the text of a value, with sorted keys. Bytes that are not valid UTF-8
// are replaced. Thread-safe.
std::string PrintJson(const nlohmann::json& value,
                      Layout layout = Layout::kOneLine);

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_JSON_DOCUMENT_H_
