"""soak.processes: the real processes, and signals to them."""

import contextlib
import signal
from collections.abc import AsyncIterator

import attrs
import trio

from standins.platform_processes import PlatformProcess, wait_ready

__all__ = ('ManagedProcess', 'run_processes')

# a process that is told to stop is killed after its grace of 6 s
GRACE_S = 6

# a process that starts has read the store's keys by then
START_LIMIT_S = 60

POLL_S = 0.1

# line that a process writes when it has read the keys of a prefix
READY_LINE = b'mirror:synced'

# number of such lines: keys of the operator, of upstreams and of its own
READY_LINES = 3


@attrs.define
class ManagedProcess:
    """A process that is started, signalled and ended from outside.

    :ivar odd_ends: exit codes of ends that nobody told it.
    """

    place: PlatformProcess
    odd_ends: list[int] = attrs.field(factory=list)
    _process: trio.Process | None = None
    _is_told: bool = False
    _lock: trio.Lock = attrs.field(factory=trio.Lock)

    async def start(self) -> None:
        """Start it; wait until it has read the store or serves callers."""
        known = self._ready_lines()
        self._process = await self.place.start()
        self._is_told = False
        with trio.move_on_after(START_LIMIT_S):
            if self.place.program == 'entry':
                await wait_ready(self.place.host)
            while self._ready_lines() < known + READY_LINES:
                await trio.sleep(POLL_S)

    async def watch(self) -> None:
        """Note ends that nobody told it, and start it again."""
        while True:
            await trio.sleep(POLL_S)
            process = self._process
            if process and not self._is_told and process.poll() is not None:
                self.odd_ends.append(process.returncode or 0)
                await self.start()

    async def kill(self, down_s: float) -> None:
        """Kill it and start it again."""
        async with self._lock:
            await self.end()
            await trio.sleep(down_s)
            await self.start()

    async def terminate(self, down_s: float) -> None:
        """Stop it as planned, and start it again."""
        async with self._lock:
            if self._process:
                self._is_told = True
                self._process.terminate()
                with trio.move_on_after(GRACE_S):
                    await self._process.wait()
                await self.end()
            await trio.sleep(down_s)
            await self.start()

    async def pause(self, paused_s: float) -> None:
        """Have it stand still."""
        async with self._lock:
            if self._process:
                self._process.send_signal(signal.SIGSTOP)
                await trio.sleep(paused_s)
                self._process.send_signal(signal.SIGCONT)

    async def end(self) -> None:
        """Kill it."""
        self._is_told = True
        if self._process:
            self._process.kill()
            await self._process.wait()

    def _ready_lines(self) -> int:
        with contextlib.suppress(FileNotFoundError):
            return self.place.log_path.read_bytes().count(READY_LINE)
        return 0


@contextlib.asynccontextmanager
async def run_processes(
    places: list[PlatformProcess],
) -> AsyncIterator[list[ManagedProcess]]:
    """Run processes until exit, which kills those that were started."""
    processes = [ManagedProcess(place) for place in places]
    try:
        async with trio.open_nursery() as nursery:
            for process in processes:
                nursery.start_soon(process.start)
        async with trio.open_nursery() as nursery:
            for process in processes:
                nursery.start_soon(process.watch)
            yield processes
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            for process in processes:
                await process.end()
