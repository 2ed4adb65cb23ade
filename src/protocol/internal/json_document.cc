#include "protocol/internal/json_document.h"

#include <algorithm>
#include <set>
#include <utility>
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace gooseberrygap::protocol {

namespace {

using nlohmann::json;

// Longest excerpt of a document that a fault quotes, in bytes.
constexpr size_t kMaxQuoted = 60;
// Number of faults that are listed. A document of 1 MiB can have 350,000.
constexpr size_t kMaxLines = 100;
// Documents nest six levels. Without a bound, the path of a fault in a deeply
// nested document took seconds to build.
constexpr size_t kMaxLevels = 32;

// Returns the text with bytes outside printable ASCII replaced: the message
// may be quoted in a JSON answer, which must be valid UTF-8.
std::string Printable(absl::string_view text) {
  std::string printable(text);
  std::replace_if(
      printable.begin(), printable.end(),
      [](char c) { return !absl::ascii_isprint(static_cast<uint8_t>(c)); },
      '?');
  return printable;
}

std::string Quote(const json& value) {
  if (value.is_object()) {
    return "an object";
  }
  if (value.is_array()) {
    return "an array";
  }
  std::string text = value.dump(-1, ' ', /*ensure_ascii=*/true,
                                json::error_handler_t::replace);
  if (text.size() > kMaxQuoted) {
    text = absl::StrCat(text.substr(0, kMaxQuoted), "...");
  }
  return text;
}

std::string MemberPath(absl::string_view path, absl::string_view key) {
  const bool plain =
      !key.empty() && std::all_of(key.begin(), key.end(), [](char c) {
        return absl::ascii_isalnum(static_cast<uint8_t>(c)) || c == '_';
      });
  if (!plain) {
    return absl::StrCat(path, "[", Quote(std::string(key)), "]");
  }
  return path.empty() ? std::string(key) : absl::StrCat(path, ".", key);
}

std::string ElementPath(absl::string_view path, size_t index) {
  return absl::StrCat(path, "[", index, "]");
}

// Follows the parser through a document to find syntax errors and duplicate
// keys, which the parsed value no longer shows.
class DocumentScanner : public nlohmann::json_sax<json> {
 public:
  explicit DocumentScanner(Faults* faults) : faults_(faults) {}

  bool null() override { return OnValue(); }
  bool boolean(bool) override { return OnValue(); }
  bool number_integer(number_integer_t) override { return OnValue(); }
  bool number_unsigned(number_unsigned_t) override { return OnValue(); }
  bool number_float(number_float_t, const string_t&) override {
    return OnValue();
  }
  bool string(string_t&) override { return OnValue(); }
  bool binary(binary_t&) override { return OnValue(); }
  bool start_object(std::size_t) override { return Open(false); }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t) override { return Open(true); }
  bool end_array() override { return Close(); }

  bool key(string_t& key) override {
    Level& level = levels_.back();
    level.key_ = key;
    if (!level.keys_.insert(key).second) {
      faults_->Add(CurrentPath(), "the key for the second time",
                   "each key once");
    }
    return true;
  }

  bool parse_error(std::size_t,
                   const std::string&,
                   const json::exception& error) override {
    // The library's messages begin with its own name of the exception.
    const std::string message = error.what();
    const size_t end = message.find("] ");
    faults_->Add(
        CurrentPath(),
        Printable(end == std::string::npos ? message : message.substr(end + 2)),
        "one JSON value and nothing after it");
    return false;
  }

 private:
  struct Level {
    bool is_array_ = false;
    size_t index_ = 0;
    std::string key_;
    std::set<std::string> keys_;
  };

  std::string CurrentPath() const {
    std::string path;
    for (const Level& level : levels_) {
      path = level.is_array_ ? ElementPath(path, level.index_)
                             : MemberPath(path, level.key_);
    }
    return path;
  }

  bool OnValue() {
    if (!levels_.empty()) {
      ++levels_.back().index_;
    }
    return true;
  }

  bool Open(bool is_array) {
    if (levels_.size() == kMaxLevels) {
      faults_->Add(CurrentPath(), "a value nested too deeply",
                   absl::StrCat("at most ", kMaxLevels, " levels"));
      return false;
    }
    levels_.push_back(Level{.is_array_ = is_array});
    return true;
  }

  bool Close() {
    levels_.pop_back();
    return OnValue();
  }

  Faults* faults_;
  std::vector<Level> levels_;
};

}  // namespace

void Faults::Add(absl::string_view path,
                 absl::string_view found,
                 absl::string_view allowed) {
  if (++count_ > kMaxLines) {
    return;
  }
  lines_.push_back(absl::StrCat(path.empty() ? "(document)" : path, ": found ",
                                found, "; allowed: ", allowed));
}

state::Error Faults::ToError(state::ErrorKind kind,
                             absl::string_view document) const {
  return state::MakeError(
      kind, absl::StrCat(document, " has ", count_,
                         count_ == 1 ? " fault:\n  " : " faults:\n  ",
                         absl::StrJoin(lines_, "\n  "),
                         count_ > kMaxLines ? "\n  ..." : ""));
}

JsonNode::JsonNode(const json* value,
                   std::string path,
                   UnknownKeys unknown_keys,
                   Faults* faults)
    : value_(value),
      path_(std::move(path)),
      unknown_keys_(unknown_keys),
      faults_(faults) {}

JsonNode JsonNode::Member(absl::string_view key) const {
  return JsonNode(&*value_->find(std::string(key)), MemberPath(path_, key),
                  unknown_keys_, faults_);
}

JsonNode JsonNode::Element(size_t index) const {
  return JsonNode(&(*value_)[index], ElementPath(path_, index), unknown_keys_,
                  faults_);
}

void JsonNode::Refuse(absl::string_view allowed) const {
  faults_->Add(path_, Quote(*value_), allowed);
}

void JsonNode::RefuseMissing(absl::string_view key,
                             absl::string_view allowed) const {
  faults_->Add(MemberPath(path_, key), "nothing", allowed);
}

void JsonNode::CheckKeys(absl::Span<const absl::string_view> known) const {
  if (unknown_keys_ == UnknownKeys::kIgnore) {
    return;
  }
  for (const auto& item : value_->items()) {
    if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
      faults_->Add(MemberPath(path_, item.key()), "an unknown key",
                   absl::StrJoin(known, ", "));
    }
  }
}

json ReadJson(absl::string_view text, Faults* faults) {
  DocumentScanner scanner(faults);
  if (!json::sax_parse(text.begin(), text.end(), &scanner)) {
    return {};
  }
  return json::parse(text.begin(), text.end(), nullptr,
                     /*allow_exceptions=*/false);
}

std::string PrintJson(const json& value, Layout layout) {
  return value.dump(layout == Layout::kIndented ? 2 : -1, ' ',
                    /*ensure_ascii=*/false, json::error_handler_t::replace);
}

}  // namespace gooseberrygap::protocol
