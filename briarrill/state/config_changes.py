"""briarrill.state.config_changes: what differs between configurations."""

from collections.abc import Iterator
from typing import Any

import msgspec

from .contracts import Configuration

__all__ = ('describe_changes',)

ABSENT = 'absent'


def describe_changes(old: Configuration, new: Configuration) -> list[str]:
    """Return a line for each setting that differs.

    A line names the place, the old and the new setting.
    """
    before = dict(_settings('', msgspec.to_builtins(old)))
    after = dict(_settings('', msgspec.to_builtins(new)))
    return [
        f'{place}: {before.get(place, ABSENT)} -> {after.get(place, ABSENT)}'
        for place in sorted(before.keys() | after.keys())
        if before.get(place, ABSENT) != after.get(place, ABSENT)
    ]


def _settings(place: str, fields: Any) -> Iterator[tuple[str, str]]:
    """Yield the place and the text of each setting."""
    if not isinstance(fields, dict):
        yield place, msgspec.json.encode(fields).decode()
        return
    for name, nested in fields.items():
        yield from _settings(f'{place}.{name}' if place else name, nested)
