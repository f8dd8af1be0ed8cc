"""briarrill.coordination.latest_results: results that a table may lack.

A process that stood still, or whose watch falls silent, does not notice it at
once. So what it follows does not show that there is no further result: what
was written since is read from the service first, for all jobs at once.
"""

import contextlib
import math
from collections.abc import Callable

import attrs
import trio
from eliot import log_message

from ..errors import PlatformUnavailableError
from ..state.keys import JOB_RESULTS_PREFIX
from ..transport.key_value import ChangeSource, KeySnapshot, WatchProgress
from .job_table import MAX_ABSENCE_AGE_S, JobTable
from .shared_reads import SharedReads

__all__ = ('LatestResults',)

# pause after a read that failed, in which jobs are read one by one
FAILURE_PAUSE_S = 1.0


@attrs.define
class LatestResults:
    """Reads the results written since the table's mirror received changes.

    :param position: returns the revision up to which the table has them.
    """

    service: ChangeSource
    jobs: JobTable
    position: Callable[[], int]
    _revision: int = attrs.field(default=0, init=False)
    _confirmed_at: float = attrs.field(default=-math.inf, init=False)
    _paused_until: float = attrs.field(default=-math.inf, init=False)
    _reads: SharedReads = attrs.field(factory=SharedReads, init=False)

    async def confirm(self) -> bool:
        """Tell whether the table has all but the results of just now.

        Those are results written up to ``MAX_ABSENCE_AGE_S`` ago. Reads them
        unless a read since then has; calls that wait share a read.
        """
        now = trio.current_time()
        if not self._is_confirmed() and now >= self._paused_until:
            await self._reads.run(JOB_RESULTS_PREFIX, self._read_all)
        return self._is_confirmed()

    def _is_confirmed(self) -> bool:
        return trio.current_time() - self._confirmed_at < MAX_ABSENCE_AGE_S

    async def _read_all(self) -> None:
        """Read the results; pause the reads if they are not told in time."""
        began_at = trio.current_time()
        revision = max(self._revision, self.position())
        # without a revision it would be a read of all results
        if revision and await self._is_read_in_time(revision):
            self._confirmed_at = began_at
        else:
            self._paused_until = trio.current_time() + FAILURE_PAUSE_S
            log_message('results:unread', revision=revision)

    async def _is_read_in_time(self, revision: int) -> bool:
        """Read the results after a revision; tell whether all came in time."""
        with (
            contextlib.suppress(PlatformUnavailableError),
            trio.move_on_after(MAX_ABSENCE_AGE_S),
        ):
            return await self._read(revision)
        return False

    async def _read(self, revision: int) -> bool:
        """Add the results after a revision to the table.

        :return: whether they are complete; they are not if the service has
            discarded some of the changes.
        """
        changes = self.service.follow_prefix(
            JOB_RESULTS_PREFIX, after_revision=revision
        )
        async with contextlib.aclosing(changes):
            async for change in changes:
                if isinstance(change, WatchProgress):
                    self._revision = change.revision
                    return True
                if isinstance(change, KeySnapshot):
                    break
                self.jobs.apply_key(change.key, change.body)
        return False
