"""briarrill.ctl.survey: asks all processes for their status."""

import trio

from ..coordination.neighbours import Process
from ..errors import BriarrillError
from ..protocol.messages import Status, StatusRequest
from ..protocol.rpc import RpcCaller

__all__ = ('CONCURRENCY', 'ask', 'ask_all')

# processes that are asked at the same time
CONCURRENCY = 100

STATUS_TIMEOUT_S = 2.0


async def ask(caller: RpcCaller, process: Process) -> Status | None:
    """Return the status of a process, or nothing when it does not answer."""
    peer = process.peer
    try:
        reply = await caller.call(
            peer.host, peer.port, StatusRequest(), STATUS_TIMEOUT_S
        )
    except BriarrillError:
        return None
    return reply if isinstance(reply, Status) else None


async def ask_all(
    caller: RpcCaller, processes: list[Process]
) -> dict[Process, Status]:
    """Return the status of each process that answers."""
    rows: dict[Process, Status] = {}
    limiter = trio.CapacityLimiter(CONCURRENCY)

    async def note(process: Process) -> None:
        async with limiter:
            row = await ask(caller, process)
        if row is not None:
            rows[process] = row

    async with trio.open_nursery() as nursery:
        for process in processes:
            nursery.start_soon(note, process)
    return rows
