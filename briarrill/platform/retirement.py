"""briarrill.platform.retirement: drains an instance at the operator's request.

A batch process stores no jobs on its instance, so the instance can be removed
when no item runs and all results are written.
"""

from typing import Annotated

import attrs
import msgspec
import trio
from eliot import log_message

from ..coordination.mirror import MirrorListener
from ..decoding import json_decoder
from ..errors import (
    BriarrillError,
    MalformedMessageError,
    WriteRefusedError,
)
from ..item_runs.scheduler import Scheduler
from ..transport.key_value import KeyValueService

__all__ = ('Retirement',)

_REQUEST_PREFIX = 'op/retire/'
_STATUS_PREFIX = 'status/retire/'

# part of the requested duration in which running items may end by themselves
GRACEFUL_SHARE = 0.6

REPORT_RETRY_DELAY_S = 0.3
IDLE_POLL_INTERVAL_S = 0.05


@attrs.frozen
class _Request:
    """The operator's request.

    :param duration_s: time within which running items may end.
    """

    duration_s: Annotated[float, msgspec.Meta(ge=0)] = 0


_REQUEST_DECODER = json_decoder(_Request)


class Retirement(MirrorListener):
    """Drains this instance when the operator requests it.

    :param name: the instance's name.
    """

    def __init__(
        self, service: KeyValueService, name: str, scheduler: Scheduler
    ) -> None:
        """Start without a request."""
        self._service = service
        self._name = name
        self._scheduler = scheduler
        self._requested = trio.Event()
        self._duration_s = 0.0

    def apply_key(self, key: str, body: bytes | None) -> None:
        """Accept a request for this instance; log an unreadable one."""
        if key != f'{_REQUEST_PREFIX}{self._name}' or body is None:
            return
        try:
            request = _REQUEST_DECODER.decode(body)
        except MalformedMessageError as exc:
            log_message('retirement:unreadable', reason=exc.message)
            return
        self._duration_s = request.duration_s
        self._requested.set()

    async def run(self) -> None:
        """Wait for a request, drain the instance and report start and end.

        Items still running after a part of the duration are preempted.
        """
        await self._requested.wait()
        log_message('retirement:asked', duration_s=self._duration_s)
        self._scheduler.begin_drain()
        await self._report('running')
        with trio.move_on_after(self._duration_s * GRACEFUL_SHARE):
            await self._wait_idle()
        self._scheduler.preempt_all()
        await self._wait_idle()
        await self._report('completed')

    async def _wait_idle(self) -> None:
        """Wait until no item runs and all results are written."""
        while not self._scheduler.local_items.is_idle:
            await trio.sleep(IDLE_POLL_INTERVAL_S)

    async def _report(self, state: str) -> None:
        """Write the state to the status key, retrying until it is written.

        A write that the service refuses for good is given up.
        """
        body = msgspec.json.encode({'state': state})
        key = f'{_STATUS_PREFIX}{self._name}'
        while True:
            try:
                await self._service.overwrite(key, body)
            except WriteRefusedError as exc:
                log_message('retirement:not-reported', reason=exc.message)
                return
            except BriarrillError as exc:
                log_message('retirement:not-reported', reason=exc.message)
                await trio.sleep(REPORT_RETRY_DELAY_S)
            else:
                log_message('retirement:reported', state=state)
                return
