"""Tests of dataclasses whose methods are generated late."""

from __future__ import annotations

import copy
import dataclasses
from typing import Any

import pytest

from hornbeamyard.process.lazy_dataclasses import dataclass


@dataclass(slots=True)
class Base:
    """With a default, a factory, and a field that isn't an argument."""

    name: str
    items: list[int] = dataclasses.field(default_factory=list)
    size: int = 3
    total: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.total = self.size + len(self.items)


@dataclass(slots=True, eq=False)
class Derived(Base):
    """Made before any object of its base class."""

    extra: str = "e"


@dataclass(slots=True, frozen=True)
class Key:
    """Hashable, and copied by its fields."""

    id: str
    started_ms: int = 0


@dataclass(slots=True, order=True)
class Due:
    """Ordered by its first field only."""

    at: float
    value: Any = dataclasses.field(default=None, compare=False)


def test_subclass_comes_first() -> None:
    """Guards against a subclass without the fields of its base class."""
    derived = Derived("n", [1], extra="x")
    assert (derived.total, derived.extra, derived.items) == (4, "x", [1])
    # The comparison is that of the base class, as with the standard decorator.
    assert derived == Derived("n", [1], extra="y")
    assert Base("n") == Base("n")
    assert Base("n").items is not Base("n").items
    assert repr(Base("n")) == "Base(name='n', items=[], size=3, total=3)"
    with pytest.raises(TypeError, match="unexpected keyword argument"):
        Base("n", total=4)  # type: ignore[call-arg]
    with pytest.raises(AttributeError, match="other"):
        derived.other = 1  # type: ignore[attr-defined]
    with pytest.raises(TypeError, match="unhashable"):
        hash(Base("n"))


def test_frozen() -> None:
    """Guards against keys that change, or that lose fields in a copy."""
    key = Key("a", 5)
    assert {key: 1}[Key("a", 5)] == 1
    assert copy.deepcopy(key) == key
    assert dataclasses.replace(key, id="b") == Key("b", 5)
    with pytest.raises(dataclasses.FrozenInstanceError, match="id"):
        key.id = "c"  # type: ignore[misc]


def test_order() -> None:
    """Guards against objects that can't be sorted."""
    assert Due(1.0, "z") < Due(2.0, "a")
    assert Due(1.0, "z") == Due(1.0, "a")


def test_slots_are_required() -> None:
    """Guards against a class whose fields aren't in slots, unnoticed."""
    with pytest.raises(ValueError, match="has slots"):
        dataclass(slots=False)
