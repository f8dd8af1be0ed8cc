"""briarrill.entry.auth: which contract a request belongs to."""

from ..errors import UnauthenticatedError
from ..state.contracts import Configuration, Contract, hash_api_key

__all__ = ('authenticate',)

_SCHEME = 'Bearer '


def authenticate(
    cfg: Configuration, authorization: str
) -> tuple[str, Contract]:
    """Return the name and contract of the key in the header.

    :raises UnauthenticatedError: the key is missing or unknown.
    """
    if not authorization.startswith(_SCHEME):
        raise UnauthenticatedError('an API key is needed: Bearer KEY')
    digest = hash_api_key(authorization.removeprefix(_SCHEME).strip())
    for name, contract in cfg.contracts.items():
        if digest in contract.api_key_sha256:
            return name, contract
    raise UnauthenticatedError('the API key is unknown')
