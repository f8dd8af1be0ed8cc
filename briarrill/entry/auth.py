"""briarrill.entry.auth: finds the contract of an API key."""

from ..errors import UnauthenticatedError
from ..state.api_keys import hash_api_key
from ..state.contracts import Configuration, Contract

__all__ = ('authenticate',)

_AUTHORIZATION_SCHEME = 'Bearer '


def authenticate(
    cfg: Configuration, authorization: str
) -> tuple[str, Contract]:
    """Return the name and contract of an API key.

    :param authorization: content of the ``Authorization`` header.

    :raises UnauthenticatedError: the key is missing or unknown.
    """
    if not authorization.startswith(_AUTHORIZATION_SCHEME):
        raise UnauthenticatedError(
            'the Authorization header must be: Bearer KEY'
        )
    digest = hash_api_key(
        authorization.removeprefix(_AUTHORIZATION_SCHEME).strip()
    )
    for name, contract in cfg.contracts.items():
        if digest in contract.api_key_sha256:
            return name, contract
    raise UnauthenticatedError('no contract has this API key')
