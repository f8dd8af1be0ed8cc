"""briarrill.state.api_keys: API keys as they are listed and compared."""

import hashlib

__all__ = ('hash_api_key',)


def hash_api_key(api_key: str) -> str:
    """Return the SHA-256 of an API key as listed in a contract."""
    return hashlib.sha256(api_key.encode()).hexdigest()
