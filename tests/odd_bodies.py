"""JSON that other writers may leave."""

import json

__all__ = ('add_field',)


def add_field(fields: dict, name: str, raw: bytes) -> bytes:
    """Return an object's JSON with one more field, its value as given."""
    encoded = json.dumps(fields).encode()
    return b'%b,"%b":%b}' % (encoded[:-1], name.encode(), raw)
