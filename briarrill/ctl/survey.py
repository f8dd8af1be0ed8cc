"""briarrill.ctl.survey: status requests to all processes."""

import trio

from ..coordination.neighbours import Process
from ..errors import BriarrillError
from ..protocol.messages import Status, StatusRequest
from ..protocol.rpc import RpcCaller

__all__ = ('MAX_CONCURRENT_CALLS', 'fetch_status', 'fetch_statuses')

# status requests in flight at the same time
MAX_CONCURRENT_CALLS = 100

STATUS_TIMEOUT_S = 2.0


async def fetch_status(caller: RpcCaller, process: Process) -> Status | None:
    """Request the status of a process; return None if the call fails."""
    peer = process.peer
    try:
        reply = await caller.call(
            peer.host, peer.port, StatusRequest(), STATUS_TIMEOUT_S
        )
    except BriarrillError:
        return None
    return reply if isinstance(reply, Status) else None


async def fetch_statuses(
    caller: RpcCaller, processes: list[Process]
) -> dict[Process, Status]:
    """Request the status of all processes; omit those that do not reply."""
    statuses: dict[Process, Status] = {}
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def record_status(process: Process) -> None:
        async with limiter:
            status = await fetch_status(caller, process)
        if status is not None:
            statuses[process] = status

    async with trio.open_nursery() as nursery:
        for process in processes:
            nursery.start_soon(record_status, process)
    return statuses
