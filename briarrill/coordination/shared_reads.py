"""briarrill.coordination.shared_reads: one read for all that wait for it."""

from collections.abc import Awaitable, Callable

import attrs
import trio

from ..errors import PlatformUnavailableError

__all__ = ('SharedReads',)


@attrs.define
class _OpenRead:
    """A read that has not ended.

    :param began_at: time on trio's clock.
    :param is_done: it succeeded.
    :param error: why it failed, none if its reader was cancelled.
    """

    began_at: float = attrs.field(factory=trio.current_time)
    ended: trio.Event = attrs.field(factory=trio.Event)
    is_done: bool = False
    error: PlatformUnavailableError | None = None


@attrs.define
class SharedReads:
    """Runs at most one read of each subject at a time."""

    _open: dict[str, _OpenRead] = attrs.field(factory=dict, init=False)

    async def run(
        self, subject: str, read: Callable[[], Awaitable[None]]
    ) -> float:
        """Run a read, or wait for the one of its subject that is running.

        If the reader of that one is cancelled, another one reads.

        :return: time on trio's clock at which the read began; what was
            written since may be missing.
        :raises PlatformUnavailableError: the read failed.
        """
        while (running := self._open.get(subject)) is not None:
            await running.ended.wait()
            if running.error is not None:
                raise PlatformUnavailableError(
                    running.error.message,
                    retry_after_s=running.error.retry_after_s,
                )
            if running.is_done:
                return running.began_at
        return await self._run_first(subject, read)

    async def _run_first(
        self, subject: str, read: Callable[[], Awaitable[None]]
    ) -> float:
        """Run a read and tell the waiting ones how it ended."""
        running = _OpenRead()
        self._open[subject] = running
        try:
            await read()
            running.is_done = True
        except PlatformUnavailableError as exc:
            running.error = exc
            raise
        finally:
            self._open.pop(subject)
            running.ended.set()
        return running.began_at
