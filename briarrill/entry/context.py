"""briarrill.entry.context: state shared by the routes of an entry."""

from typing import cast

import attrs
from quart import request

from ..control import Control
from ..errors import DrainingError
from ..readiness import Readiness
from ..state.contracts import Configuration, Contract
from ..state.segment_replicas import SegmentReplicas
from ..state.settings import EntrySettings
from .auth import authenticate
from .dispatch import Dispatcher
from .limits import ContractLimits
from .requests_in_flight import RequestsInFlight

__all__ = ('Caller', 'EntryContext', 'check_accepts', 'read_body')

# Retry-After of an entry that is stopping
DRAINING_RETRY_AFTER_S = 1.0


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

    async def read_body_to_run(self) -> bytes:
        """Return the body of the current request, which runs afterwards.

        One that was whole too late could outlast the stop of the entry.

        :raises DrainingError: the entry has stopped accepting requests
            before the body was whole.
        """
        body = await read_body()
        check_accepts(self.control.readiness)
        return body

    def caller(self) -> Caller:
        """Return the authenticated caller of the current request.

        :raises UnauthenticatedError: the key is missing or unknown.
        """
        header = request.headers.get('Authorization', '')
        name, contract = authenticate(self.configuration, header)
        return Caller(name, contract)


def check_accepts(readiness: Readiness) -> None:
    """Check that requests may begin.

    :raises DrainingError: the entry has stopped accepting them.
    """
    if readiness.rejects_work:
        raise DrainingError(
            'the entry is stopping', retry_after_s=DRAINING_RETRY_AFTER_S
        )


async def read_body() -> bytes:
    """Return the whole body of the current request."""
    return cast(bytes, await request.get_data(as_text=False))
