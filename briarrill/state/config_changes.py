"""briarrill.state.config_changes: lists changes between configurations."""

from collections.abc import Iterator
from typing import Any

import msgspec

from .contracts import Configuration

__all__ = ('list_configuration_changes',)

ABSENT = 'absent'


def list_configuration_changes(
    old: Configuration, new: Configuration
) -> list[str]:
    """Return a line for each setting that differs.

    A line has the dotted key path, the old and the new setting as JSON; a
    setting that is missing is shown as absent.
    """
    old_settings = dict(_flatten_settings('', msgspec.to_builtins(old)))
    new_settings = dict(_flatten_settings('', msgspec.to_builtins(new)))
    return [
        f'{key_path}: {old_settings.get(key_path, ABSENT)}'
        f' -> {new_settings.get(key_path, ABSENT)}'
        for key_path in sorted(old_settings.keys() | new_settings.keys())
        if old_settings.get(key_path, ABSENT)
        != new_settings.get(key_path, ABSENT)
    ]


def _flatten_settings(key_path: str, fields: Any) -> Iterator[tuple[str, str]]:
    """Yield the dotted key path and the JSON text of each setting."""
    if not isinstance(fields, dict):
        yield key_path, msgspec.json.encode(fields).decode()
        return
    for name, nested in fields.items():
        yield from _flatten_settings(
            f'{key_path}.{name}' if key_path else name, nested
        )
