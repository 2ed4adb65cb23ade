#ifndef PROTOCOL_INTERNAL_JSON_KINDS_H_
#define PROTOCOL_INTERNAL_JSON_KINDS_H_

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include "protocol/internal/json_document.h"
#include "state/state.h"

namespace gooseberrygap::protocol {

// Kinds of single values. A kind reads a value, recording a fault when it is
// not allowed, prints it, and says what is allowed.

// Largest integer that every JSON library keeps exactly.
inline constexpr int64_t kMaxInteger = (int64_t{1} << 53) - 1;

// Returns the number as JSON; a whole one without a decimal point, so that a
// number has one canonical form.
inline nlohmann::json PrintNumber(double value) {
  if (std::trunc(value) == value &&
      std::abs(value) <= static_cast<double>(kMaxInteger)) {
    return static_cast<int64_t>(value);
  }
  return value;
}

// An integer. As in JSON Schema, 5.0 is the integer 5.
struct Integer {
  const int64_t min_;
  const int64_t max_;

  std::string Allowed() const {
    return absl::StrCat("an integer from ", min_, " to ", max_);
  }

  template <class Value>
  Value Read(const JsonNode& node) const {
    const double number =
        node.value().is_number() ? node.value().get<double>() : std::nan("");
    if (std::trunc(number) != number || number < static_cast<double>(min_) ||
        number > static_cast<double>(max_)) {
      node.Refuse(Allowed());
      return Value{};
    }
    // Exact, since the range ends at kMaxInteger.
    return static_cast<Value>(number);
  }

  template <class Value>
  nlohmann::json Print(Value value) const {
    return value;
  }
};

// A number: a double member, or a duration whose key names its unit.
struct Number {
  const double min_;
  const double max_;

  std::string Allowed() const {
    return absl::StrCat("a number from ", PrintNumber(min_).dump(), " to ",
                        PrintNumber(max_).dump());
  }

  template <class Value>
  Value Read(const JsonNode& node) const {
    const double number =
        node.value().is_number() ? node.value().get<double>() : std::nan("");
    if (!(number >= min_ && number <= max_)) {
      node.Refuse(Allowed());
      return Value{};
    }
    return Value(number);
  }

  nlohmann::json Print(double value) const { return PrintNumber(value); }
  nlohmann::json Print(state::Millis value) const {
    return PrintNumber(value.value());
  }
};

struct Flag {
  std::string Allowed() const { return "true or false"; }

  template <class Value>
  Value Read(const JsonNode& node) const {
    if (!node.value().is_boolean()) {
      node.Refuse(Allowed());
      return Value{};
    }
    return node.value().get<bool>();
  }

  nlohmann::json Print(bool value) const { return value; }
};

// A string that the predicate accepts.
struct Text {
  bool (*const accepts_)(absl::string_view);
  const absl::string_view allowed_;

  std::string Allowed() const { return std::string(allowed_); }

  template <class Value>
  Value Read(const JsonNode& node) const {
    if (!node.value().is_string() ||
        !accepts_(node.value().get_ref<const std::string&>())) {
      node.Refuse(Allowed());
      return Value{};
    }
    return node.value().get<std::string>();
  }

  nlohmann::json Print(const std::string& value) const { return value; }
};

// A string that is one of a table's.
struct Word {
  const absl::Span<const absl::string_view> words_;

  std::string Allowed() const {
    return absl::StrCat("one of ", absl::StrJoin(words_, ", "));
  }

  template <class Value>
  Value Read(const JsonNode& node) const {
    for (const absl::string_view word : words_) {
      if (node.value() == std::string(word)) {
        return std::string(word);
      }
    }
    node.Refuse(Allowed());
    return Value{};
  }

  nlohmann::json Print(const std::string& value) const { return value; }
};

template <class Enum>
struct EnumName {
  const Enum value_;
  const absl::string_view name_;
};

// An enumerator by its name in a table.
template <class Enum>
struct NamedEnum {
  const absl::Span<const EnumName<Enum>> names_;

  std::string Allowed() const {
    return absl::StrCat(
        "one of ",
        absl::StrJoin(names_, ", ", [](std::string* out, const auto& row) {
          absl::StrAppend(out, row.name_);
        }));
  }

  template <class Value>
  Value Read(const JsonNode& node) const {
    for (const EnumName<Enum>& row : names_) {
      if (node.value() == std::string(row.name_)) {
        return row.value_;
      }
    }
    node.Refuse(Allowed());
    return Value{};
  }

  // Precondition: the table has the enumerator.
  nlohmann::json Print(Enum value) const {
    for (const EnumName<Enum>& row : names_) {
      if (row.value_ == value) {
        return std::string(row.name_);
      }
    }
    return {};
  }
};

template <class Enum, size_t kSize>
constexpr NamedEnum<Enum> NamedEnumOf(const EnumName<Enum> (&names)[kSize]) {
  return {absl::Span<const EnumName<Enum>>(names, kSize)};
}

}  // namespace gooseberrygap::protocol

#endif  // PROTOCOL_INTERNAL_JSON_KINDS_H_
