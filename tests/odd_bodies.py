"""JSON that other writers may leave, unreadable in a way each."""

import json

import pytest

__all__ = ('NESTED_JSON', 'NESTED_MSGPACK', 'UNREADABLE_JSON', 'add_field')

#: Deeper than any decoder follows.
NESTED_JSON = b'[' * 100_000 + b']' * 100_000

#: An object with an unknown field that is nested as deeply.
NESTED_MSGPACK = b'\x81\xa1x' + b'\x91' * 100_000 + b'\xc0'

#: No JSON, or none that any type here accepts.
UNREADABLE_JSON = [
    pytest.param(b'', id='empty'),
    pytest.param(b'\xff{}', id='no-utf-8'),
    pytest.param(json.dumps('\ud800').encode(), id='half-surrogate'),
    pytest.param(b'{', id='cut'),
    pytest.param(b'7', id='number'),
    pytest.param(b'9' * 5000, id='long-number'),
    pytest.param(b'NaN', id='nan'),
    pytest.param(NESTED_JSON, id='nested'),
    pytest.param(b'{"x":' + NESTED_JSON + b'}', id='nested-field'),
]


def add_field(fields: dict, name: str, raw: bytes) -> bytes:
    """Return an object's JSON with one more field, its value as given."""
    encoded = json.dumps(fields).encode()
    return b'%b,"%b":%b}' % (encoded[:-1], name.encode(), raw)
