#ifndef PROTOCOL_INTERNAL_JSON_FIELDS_H_
#define PROTOCOL_INTERNAL_JSON_FIELDS_H_

#include <array>
#include <cmath>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "protocol/api/json_size.h"
#include "protocol/internal/json_document.h"
#include "protocol/internal/json_kinds.h"
#include "state/state.h"

namespace gooseberrygap::protocol {

// A table-driven reader and printer of JSON objects. A `Record` is a table of
// `Field` rows; a row has the key, the member and the kind of value allowed.
// Rows stand in the order of the members, because members are const and the
// object is built from the row values at once.

enum class FieldRequirement { kRequired, kOptional };

template <class Object, class Member, class Kind>
struct Field {
  const absl::string_view key_;
  Member Object::*const member_;
  const Kind kind_;
  const FieldRequirement requirement_;

  using Value = std::remove_const_t<Member>;

  absl::Span<const absl::string_view> Keys() const { return {&key_, 1}; }

  Value Read(const JsonNode& object) const {
    if (object.value().contains(std::string(key_))) {
      return kind_.template Read<Value>(object.Member(key_));
    }
    if (requirement_ == FieldRequirement::kRequired) {
      object.RefuseMissing(key_, kind_.Allowed());
    }
    return Object{}.*member_;
  }

  // An empty optional member is left out.
  void Print(const Object& object, nlohmann::json* out) const {
    nlohmann::json value = kind_.Print(object.*member_);
    if (!value.is_null()) {
      (*out)[std::string(key_)] = std::move(value);
    }
  }
};

// Row of a member that the document does not carry; it keeps its default.
template <class Object, class Member>
struct AbsentField {
  Member Object::*const member_;

  absl::Span<const absl::string_view> Keys() const { return {}; }
  std::remove_const_t<Member> Read(const JsonNode&) const {
    return Object{}.*member_;
  }
  void Print(const Object&, nlohmann::json*) const {}
};

template <class Object, class Member, class Kind>
constexpr Field<Object, Member, Kind> Required(absl::string_view key,
                                               Member Object::*member,
                                               Kind kind) {
  return {key, member, kind, FieldRequirement::kRequired};
}

// A missing key leaves the member's default.
template <class Object, class Member, class Kind>
constexpr Field<Object, Member, Kind> Optional(absl::string_view key,
                                               Member Object::*member,
                                               Kind kind) {
  return {key, member, kind, FieldRequirement::kOptional};
}

template <class Object, class Member>
constexpr AbsentField<Object, Member> Absent(Member Object::*member) {
  return {member};
}

// The kind of an object with these rows.
template <class Object, class... Fields>
struct Record {
  const std::tuple<Fields...> fields_;

  std::string Allowed() const { return "an object"; }

  template <class Value>
  Object Read(const JsonNode& node) const {
    if (!node.value().is_object()) {
      node.Refuse(Allowed());
      return Object{};
    }
    return std::apply(
        [&node](const auto&... field) {
          std::vector<absl::string_view> keys;
          (keys.insert(keys.end(), field.Keys().begin(), field.Keys().end()),
           ...);
          node.CheckKeys(keys);
          // Braces evaluate the rows from left to right.
          return Object{field.Read(node)...};
        },
        fields_);
  }

  nlohmann::json Print(const Object& object) const {
    nlohmann::json out = nlohmann::json::object();
    std::apply([&](const auto&... field) { (field.Print(object, &out), ...); },
               fields_);
    return out;
  }
};

template <class Object, class... Fields>
constexpr Record<Object, Fields...> RecordOf(Fields... fields) {
  return {std::tuple<Fields...>(fields...)};
}

// The kind of a section that may be absent: a std::optional member.
template <class Item>
struct Section {
  const Item item_;

  std::string Allowed() const { return item_.Allowed(); }

  template <class Value>
  Value Read(const JsonNode& node) const {
    // Not assigned: value types cannot be.
    return Value(item_.template Read<typename Value::value_type>(node));
  }
  template <class Value>
  nlohmann::json Print(const Value& value) const {
    return value.has_value() ? item_.Print(*value) : nlohmann::json();
  }
};

template <class Item>
constexpr Section<Item> SectionOf(Item item) {
  return {item};
}

// The kind of a shared value, or of null.
template <class Item>
struct Shared {
  const Item item_;

  std::string Allowed() const {
    return absl::StrCat(item_.Allowed(), " or null");
  }

  template <class Value>
  Value Read(const JsonNode& node) const {
    using Pointee = std::remove_const_t<typename Value::element_type>;
    if (node.value().is_null()) {
      return nullptr;
    }
    return std::make_shared<Pointee>(item_.template Read<Pointee>(node));
  }
  template <class Value>
  nlohmann::json Print(const Value& value) const {
    return value == nullptr ? nlohmann::json() : item_.Print(*value);
  }
};

template <class Item>
constexpr Shared<Item> SharedOf(Item item) {
  return {item};
}

// The kind of an array whose elements are all of one kind.
template <class Item>
struct List {
  const Item item_;
  const size_t max_;

  std::string Allowed() const {
    return absl::StrCat("an array of at most ", max_, " elements");
  }

  template <class Value>
  Value Read(const JsonNode& node) const {
    Value values;
    if (!node.value().is_array() || node.value().size() > max_) {
      node.Refuse(Allowed());
      return values;
    }
    values.reserve(node.value().size());
    for (size_t i = 0; i < node.value().size(); ++i) {
      values.push_back(
          item_.template Read<typename Value::value_type>(node.Element(i)));
    }
    return values;
  }

  template <class Value>
  nlohmann::json Print(const Value& values) const {
    nlohmann::json out = nlohmann::json::array();
    for (const auto& value : values) {
      out.push_back(item_.Print(value));
    }
    return out;
  }
};

template <class Item>
constexpr List<Item> ListOf(Item item, size_t max) {
  return {item, max};
}

// The kind of an array of objects no two of which have the same name.
template <class Item, class Object>
struct NamedList {
  const List<Item> list_;
  const absl::string_view key_;
  const std::string Object::*const name_;

  std::string Allowed() const { return list_.Allowed(); }

  template <class Value>
  Value Read(const JsonNode& node) const {
    Value values = list_.template Read<Value>(node);
    std::set<absl::string_view> names;
    for (size_t i = 0; i < values.size(); ++i) {
      // An empty name has already been reported.
      const std::string& name = values[i].*name_;
      if (!name.empty() && !names.insert(name).second) {
        node.Element(i).Member(key_).Refuse(
            absl::StrCat("a ", key_, " that no earlier element has"));
      }
    }
    return values;
  }

  template <class Value>
  nlohmann::json Print(const Value& values) const {
    return list_.Print(values);
  }
};

template <class Item, class Object>
constexpr NamedList<Item, Object> NamedListOf(Item item,
                                              size_t max,
                                              absl::string_view key,
                                              const std::string Object::*name) {
  return {{item, max}, key, name};
}

// Limit of the memory that the parsed values of an operator's document take.
// Those of a document of usual items take 10 times its bytes.
constexpr size_t kMaxDocumentValueBytes = size_t{48} * 1024 * 1024;

// Returns the object, or an error of this kind that lists the faults.
// `document` names the document in the message. Thread-safe.
template <class Object, class... Fields>
state::Result<Object> ReadDocument(const Record<Object, Fields...>& record,
                                   absl::string_view text,
                                   UnknownKeys unknown_keys,
                                   state::ErrorKind kind,
                                   absl::string_view document) {
  if (unknown_keys == UnknownKeys::kRefuse) {
    const auto checked = CheckJsonSize(text, kMaxDocumentValueBytes);
    if (!checked) {
      return state::MakeError(kind, checked.error().message_);
    }
  }
  Faults faults;
  const nlohmann::json value = ReadJson(text, &faults);
  if (value.is_discarded() || (value.is_null() && !faults.empty())) {
    return faults.ToError(kind, document);
  }
  Object object =
      record.template Read<Object>(JsonNode(&value, "", unknown_keys, &faults));
  if (!faults.empty()) {
    return faults.ToError(kind, document);
  }
  return object;
}

// Returns the canonical text of the object. Thread-safe.
template <class Object, class... Fields>
std::string PrintDocument(const Record<Object, Fields...>& record,
                          const Object& object) {
  return PrintJson(record.Print(object));
}

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_JSON_FIELDS_H_
