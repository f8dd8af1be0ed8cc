"""briarrill.protocol.request_keys: recognize a request that comes again."""

import hashlib

__all__ = ('request_key',)

KEY_BYTES = 8


def request_key(caller: str, method: bytes, target: bytes, body: bytes) -> int:
    """Return a 64-bit key, the same for each attempt at one request.

    :param caller: identifies who sent the request.
    :param target: path and query.
    :return: positive number; 0 stands for no request elsewhere.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for field in (caller.encode(), method, target, body):
        digest.update(len(field).to_bytes(KEY_BYTES))
        digest.update(field)
    return int.from_bytes(digest.digest()) or 1
