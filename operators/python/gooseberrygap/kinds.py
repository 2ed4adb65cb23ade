"""Kinds of values in a configuration.

A kind says what is allowed, finds faults in a value, gives the value's JSON
form and its JSON schema. `faults` yields pairs of a path and a message.
"""

import dataclasses
import math
import re


@dataclasses.dataclass(frozen=True)
class Integer:
    minimum: int
    maximum: int

    def faults(self, value, path):
        # bool is a subclass of int in Python, but not an integer in JSON.
        if isinstance(value, bool) or not isinstance(value, int) or not (
                self.minimum <= value <= self.maximum):
            yield path, (f"found {value!r}; allowed: an integer from "
                         f"{self.minimum} to {self.maximum}")

    def to_json(self, value):
        return value

    def schema(self):
        return {"type": "integer", "minimum": self.minimum, "maximum": self.maximum}


@dataclasses.dataclass(frozen=True)
class Number:
    minimum: float
    maximum: float

    def faults(self, value, path):
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or math.isnan(value) or not (
                self.minimum <= value <= self.maximum):
            yield path, (f"found {value!r}; allowed: a number from "
                         f"{self.minimum} to {self.maximum}")

    def to_json(self, value):
        return int(value) if float(value).is_integer() else value

    def schema(self):
        return {"type": "number", "minimum": self.minimum, "maximum": self.maximum}


@dataclasses.dataclass(frozen=True)
class Flag:

    def faults(self, value, path):
        if not isinstance(value, bool):
            yield path, f"found {value!r}; allowed: True or False"

    def to_json(self, value):
        return value

    def schema(self):
        return {"type": "boolean"}


@dataclasses.dataclass(frozen=True)
class Text:
    """A string that matches the pattern as a whole."""

    pattern: str
    allowed: str

    def faults(self, value, path):
        if not isinstance(value, str) or not re.fullmatch(self.pattern, value):
            yield path, f"found {value!r}; allowed: {self.allowed}"

    def to_json(self, value):
        return value

    def schema(self):
        # In some dialects $ also matches before a line break at the end, which
        # (?!\n) rules out.
        return {"type": "string", "pattern": f"^(?:{self.pattern})$(?!\\n)",
                "description": self.allowed}


@dataclasses.dataclass(frozen=True)
class OneOf:
    words: tuple

    def faults(self, value, path):
        if not isinstance(value, str) or value not in self.words:
            yield path, f"found {value!r}; allowed: one of {', '.join(self.words)}"

    def to_json(self, value):
        return value

    def schema(self):
        return {"enum": list(self.words)}


@dataclasses.dataclass(frozen=True)
class ListOf:
    """A list whose elements are all of one kind. With `unique`, no two elements
    have the same value of that attribute."""

    item: object
    maximum: int
    unique: str = ""

    def faults(self, value, path):
        if not isinstance(value, (list, tuple)) or len(value) > self.maximum:
            yield path, f"found {value!r}; allowed: a list of at most {self.maximum} elements"
            return
        seen = []
        for index, element in enumerate(value):
            yield from self.item.faults(element, f"{path}[{index}]")
            name = getattr(element, self.unique, None) if self.unique else None
            if name is not None and name in seen:
                yield f"{path}[{index}].{self.unique}", (
                    f"found {name!r}; allowed: a {self.unique} that no earlier element has")
            seen.append(name)

    def to_json(self, value):
        return [self.item.to_json(element) for element in value]

    def schema(self):
        return {"type": "array", "maxItems": self.maximum, "items": self.item.schema()}


@dataclasses.dataclass(frozen=True)
class Record:
    """An instance of a dataclass whose fields were declared with `row`."""

    cls: type

    def faults(self, value, path):
        if not isinstance(value, self.cls):
            yield path, f"found {value!r}; allowed: a {self.cls.__name__}"
            return
        for field in dataclasses.fields(self.cls):
            child = f"{path}.{field.name}" if path else field.name
            yield from field.metadata["kind"].faults(getattr(value, field.name), child)

    def to_json(self, value):
        return {field.name: field.metadata["kind"].to_json(getattr(value, field.name))
                for field in dataclasses.fields(self.cls)}

    def schema(self):
        properties = {}
        required = []
        for field in dataclasses.fields(self.cls):
            kind = field.metadata["kind"]
            properties[field.name] = kind.schema()
            if field.default is not dataclasses.MISSING:
                properties[field.name]["default"] = kind.to_json(field.default)
            else:
                required.append(field.name)
        schema = {"type": "object", "additionalProperties": False, "properties": properties}
        if required:
            schema["required"] = required
        return schema


def row(kind, **default):
    """A dataclass field of this kind. Without a default it is required."""
    return dataclasses.field(metadata={"kind": kind}, **default)
