"""briarrill.platform.retirement: an operator empties an instance.

A batch process keeps nothing on its instance, so it is empty when no item
runs and all results are written.
"""

import attrs
import msgspec
import trio
from eliot import log_message

from ..coordination.mirror import MirrorUser
from ..errors import BriarrillError
from ..item_runs.scheduler import Scheduler
from ..transport.key_value import KeyChange, KeyValueService

__all__ = ('Retirement',)

_REQUEST_PREFIX = 'op/retire/'
_STATUS_PREFIX = 'status/retire/'

# part of the time that the operator allows in which running items may end
PATIENT_SHARE = 0.6

RETRY_S = 0.3
POLL_S = 0.05


@attrs.frozen
class _Request:
    duration_s: float = 0


class Retirement(MirrorUser):
    """Empties this instance when the operator asks for it.

    :param name: the instance's name.
    """

    def __init__(
        self, service: KeyValueService, name: str, scheduler: Scheduler
    ) -> None:
        """Start without a request."""
        self._service = service
        self._name = name
        self._scheduler = scheduler
        self._asked = trio.Event()
        self._duration_s = 0.0

    def take_key(self, key: str, body: bytes | None) -> None:
        """Take a request for this instance."""
        if key != f'{_REQUEST_PREFIX}{self._name}' or body is None:
            return
        try:
            request = msgspec.json.decode(body, type=_Request)
        except msgspec.MsgspecError as exc:
            log_message('retirement:unreadable', reason=str(exc))
            return
        self._duration_s = request.duration_s
        self._asked.set()

    async def run(self) -> None:
        """Wait for a request, empty the instance and report it."""
        await self._asked.wait()
        log_message('retirement:asked', duration_s=self._duration_s)
        self._scheduler.is_draining = True
        await self._report('running')
        with trio.move_on_after(self._duration_s * PATIENT_SHARE):
            await self._wait_idle()
        self._scheduler.preempt_all()
        await self._wait_idle()
        await self._report('completed')

    async def _wait_idle(self) -> None:
        while not self._scheduler.local_items.is_idle:
            await trio.sleep(POLL_S)

    async def _report(self, state: str) -> None:
        body = msgspec.json.encode({'state': state})
        change = KeyChange(f'{_STATUS_PREFIX}{self._name}', body)
        while True:
            try:
                await self._service.transact([change])
            except BriarrillError as exc:
                log_message('retirement:not-reported', reason=exc.message)
                await trio.sleep(RETRY_S)
            else:
                log_message('retirement:reported', state=state)
                return
