"""briarrill.entry.context: state shared by the routes of an entry."""

from typing import cast

import attrs
from quart import request

from ..control import Control
from ..state.contracts import Configuration, Contract
from ..state.segment_replicas import SegmentReplicas
from ..state.settings import EntrySettings
from .auth import authenticate
from .dispatch import Dispatcher
from .limits import ContractLimits
from .requests_in_flight import RequestsInFlight

__all__ = ('Caller', 'EntryContext', 'read_body')


@attrs.frozen
class Caller:
    """An authenticated caller.

    :param name: name of the contract.
    """

    name: str
    contract: Contract


@attrs.frozen
class EntryContext:
    """Settings and services of one entry process."""

    cfg: EntrySettings
    control: Control
    dispatcher: Dispatcher
    limits: ContractLimits
    segment_replicas: SegmentReplicas
    requests_in_flight: RequestsInFlight = attrs.field(
        factory=RequestsInFlight
    )

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.control.config_holder.current

    def caller(self) -> Caller:
        """Return the authenticated caller of the current request.

        :raises UnauthenticatedError: the key is missing or unknown.
        """
        header = request.headers.get('Authorization', '')
        name, contract = authenticate(self.configuration, header)
        return Caller(name, contract)


async def read_body() -> bytes:
    """Return the whole body of the current request."""
    return cast(bytes, await request.get_data(as_text=False))
