"""briarrill.protocol.request_keys: recognize a request that comes again."""

import hashlib

__all__ = ('is_request_key', 'request_key', 'stream_key')

KEY_BYTES = 8

# the highest bit tells keys of requests from 32-bit hashes of prompt parts
MIN_REQUEST_KEY = 0x8000000000000000


def request_key(caller: str, method: bytes, target: bytes, body: bytes) -> int:
    """Return a 64-bit number, the same for each attempt at one request.

    :param caller: identifies who sent the request.
    :param target: path and query.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for field in (caller.encode(), method, target, body):
        digest.update(len(field).to_bytes(KEY_BYTES))
        digest.update(field)
    return int.from_bytes(digest.digest()) | MIN_REQUEST_KEY


def stream_key(caller: str, request_id: str) -> int:
    """Return a 64-bit number for the stream that an attempt began.

    :param caller: identifies who sent the attempt.
    :param request_id: the caller's identifier of the attempt.
    """
    return request_key(caller, b'', request_id.encode(), b'')


def is_request_key(key: int) -> bool:
    """Tell the key of a request from the hash of a prompt part."""
    return key >= MIN_REQUEST_KEY
