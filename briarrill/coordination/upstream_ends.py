"""briarrill.coordination.upstream_ends: find upstreams that ended.

A response that breaks off does not tell whether its upstream ended, or only
one connection. So a new connection is tried after it. The prompts that the
upstream may have begun to answer are the evidence of its crash.
"""

import collections
import contextlib
import functools
import time
from collections.abc import Callable, Collection, Iterator

import attrs
import trio
from eliot import log_message

from ..errors import (
    DeadlineExceededError,
    PeerSilentError,
    PeerUnreachableError,
    UpstreamLostError,
)
from ..metrics import QUARANTINED_PARTS, UPSTREAM_CRASHES
from ..protocol.load_reports import short_hash
from ..protocol.prompt_news import PromptNews, UpstreamCrash
from ..protocol.request_keys import is_request_key
from ..transport.http_channel import HttpChannel, connect
from .prompt_crashes import PromptQuarantine
from .upstream_table import RegisteredUpstream, UpstreamTable

__all__ = ('PromptRun', 'UpstreamEnds', 'observe_prompt_news')

# time from a broken response to the check of its upstream: a process that
# ends closes its connections and its listening socket in any order
CHECK_DELAY_S = 0.1

# a live upstream accepts a connection within one or two round trips
CHECK_TIMEOUT_S = 0.25

# time for which an upstream may neither accept nor refuse connections before
# it counts as ended: a sound one may be silent for about a second, and all
# processes are to know of a crash within three
MAX_SILENCE_S = 2.0

# interval of the decisions on prompt parts and of the checks of registrations;
# longer while no crash is known
POLL_INTERVAL_S = 0.1
IDLE_POLL_INTERVAL_S = 0.5

# time for which the prompt of a broken response counts as in flight: the
# registration of a silent upstream expires within it
BROKEN_RUN_RETENTION_S = 5.0

# a prompt that ends its upstream does so before the answer has gone on for
# this time
MAX_ANSWERED_S = 1.0

# broken responses remembered for one upstream
MAX_BROKEN_RUNS = 256

HTTP_OK = 200
HTTP_MULTIPLE_CHOICES = 300

LOST_ERRORS = (UpstreamLostError, DeadlineExceededError)


@attrs.define(eq=False)
class PromptRun:
    """A request in flight at an upstream.

    :param prompt_parts: identifiers of the prompt's shared parts, in order.
    :param request_key: key of the request, 0 for an item.
    :param is_evidence: whether the end of its upstream counts against it.
    :param is_answered: whether the upstream answered the request as a whole.
    :param is_end_unmarked: whether only the close of the connection marks
        the end of the answer.
    """

    prompt_parts: tuple[str, ...]
    request_key: int = 0
    is_evidence: bool = True
    is_answered: bool = False
    is_end_unmarked: bool = False
    _first_bytes_at: float | None = None
    _last_bytes_at: float = 0
    _on_cleared: Callable[[], None] | None = None

    @property
    def has_begun(self) -> bool:
        """Whether bytes of the answer's body were received."""
        return self._first_bytes_at is not None

    @property
    def is_suspect(self) -> bool:
        """Whether the prompt may have ended the upstream."""
        return self.is_evidence and not self._has_gone_on

    @property
    def causes(self) -> set[int]:
        """Return what the end of the upstream would count against."""
        if not self.is_evidence:
            return set()
        keys = {self.request_key} if self.request_key else set()
        return keys.union(map(short_hash, self.prompt_parts))

    def call_when_cleared(self, on_cleared: Callable[[], None]) -> None:
        """Call a function once the answer clears the prompt."""
        self._on_cleared = on_cleared

    def record_bytes(self) -> None:
        """Record bytes of the answer's body."""
        self._last_bytes_at = time.monotonic()
        if self._first_bytes_at is None:
            self._first_bytes_at = self._last_bytes_at
        if self._on_cleared is not None and self._has_gone_on:
            self._on_cleared()
            self._on_cleared = None

    def record_end(self, status: int, *, is_marked: bool) -> None:
        """Record that the whole response was received.

        :param is_marked: whether more than a close marks its end.
        """
        self.is_answered = HTTP_OK <= status < HTTP_MULTIPLE_CHOICES
        self.is_end_unmarked = self.is_answered and not is_marked

    @property
    def _has_gone_on(self) -> bool:
        """Whether the answer has gone on for long enough to clear it."""
        if self._first_bytes_at is None:
            return False
        return self._last_bytes_at - self._first_bytes_at >= MAX_ANSWERED_S


@attrs.define(eq=False)
class _UpstreamRuns:
    """Requests at one incarnation of an upstream.

    :param broken: requests without a whole answer, and when they ended.
    :param unmarked: answers that may have been cut without a sign of it.
    :param is_checking: whether a check runs or is about to start.
    :param has_departed: whether its registration ended, but not its process.
    :param has_ended: whether its crash is recorded.
    :param unchecked: has broken requests count as in flight until the check.
    """

    upstream: RegisteredUpstream
    running: set[PromptRun] = attrs.field(factory=set)
    broken: collections.deque[tuple[float, PromptRun]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_BROKEN_RUNS)
    )
    unmarked: collections.deque[PromptRun] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_BROKEN_RUNS)
    )
    is_checking: bool = False
    has_departed: bool = False
    has_ended: bool = False
    unchecked: contextlib.ExitStack = attrs.field(factory=contextlib.ExitStack)

    @property
    def unchecked_runs(self) -> Collection[PromptRun]:
        """Return the broken requests that a check is due for."""
        if not self.is_checking:
            return ()
        return {run for _, run in self.broken if run.is_suspect}

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to observe."""
        return not (self.running or self.broken or self.is_checking)

    def add_broken(self, run: PromptRun) -> None:
        """Add a request that has ended without a whole answer."""
        self.broken.append((time.monotonic(), run))

    def forget_old(self, oldest: float) -> None:
        """Remove the requests that ended before a time."""
        while self.broken and self.broken[0][0] < oldest:
            self.broken.popleft()

    def forget_unmarked(self, checked: Collection[PromptRun]) -> None:
        """Remove answers whose upstream was found to be alive."""
        remaining = [run for run in self.unmarked if run not in checked]
        self.unmarked.clear()
        self.unmarked.extend(remaining)

    def crash(self) -> UpstreamCrash:
        """Return the crash with the requests that may have caused it."""
        runs = {*self.running, *self.unmarked}
        runs.update(run for _, run in self.broken)
        suspects = [run for run in runs if run.is_suspect]
        prompts = [run.prompt_parts for run in suspects if run.prompt_parts]
        first_parts = {parts[0] for parts in prompts}
        all_parts = {part for parts in prompts for part in parts}
        return UpstreamCrash(
            incarnation=short_hash(self.upstream.incarnation),
            first_parts=tuple(map(short_hash, first_parts)),
            other_parts=tuple(map(short_hash, all_parts - first_parts)),
            requests=tuple(
                {run.request_key for run in suspects if run.request_key}
            ),
        )


class UpstreamEnds:
    """Observes requests at upstreams and records crashes and answers.

    :param upstreams: registered upstreams; one that leaves by plan has not
        crashed.
    :param quarantine: gets the observations.
    :param on_change: called when there is news for other processes.
    :param lost_errors: errors of a response that was broken off.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        quarantine: PromptQuarantine,
        on_change: Callable[[], None],
        lost_errors: tuple[type[Exception], ...] = LOST_ERRORS,
    ) -> None:
        """Start without requests."""
        self._lost_errors = lost_errors
        self.quarantine = quarantine
        self._upstreams = upstreams
        self._on_change = on_change
        self._runs: dict[str, _UpstreamRuns] = {}
        self._due: list[_UpstreamRuns] = []
        self._wake = trio.Event()

    @contextlib.contextmanager
    def track(
        self,
        upstream: RegisteredUpstream,
        prompt_parts: tuple[str, ...],
        request_key: int = 0,
        *,
        is_evidence: bool = True,
    ) -> Iterator[PromptRun]:
        """Observe one request; an exception tells how its response ended.

        :param request_key: key of the request, 0 for an item.
        :param is_evidence: whether the end of the upstream counts against it;
            an answer clears its prompt in any case.
        """
        run = PromptRun(prompt_parts, request_key, is_evidence)
        if not (prompt_parts or request_key):
            yield run
            return
        with self._count_run(upstream.incarnation, run):
            if self.quarantine.has_crashed(upstream.incarnation):
                yield run
                return
            with self._observe(upstream, run):
                yield run

    def record_response(
        self, upstream: RegisteredUpstream, connected_at: float
    ) -> None:
        """Record that an upstream has sent the head of a response.

        :param connected_at: monotonic time at which its connection opened.
        """
        self.quarantine.record_response(upstream.incarnation, connected_at)

    def record_unreachable(self, upstream: RegisteredUpstream) -> None:
        """Record that an upstream accepted no connection."""
        runs = self._runs.get(upstream.incarnation)
        if runs is not None:
            self._start_check(runs)

    def receive_news(self, news: PromptNews | None) -> None:
        """Apply a peer's news, if it has any."""
        if news is not None:
            self.quarantine.apply_news(news)
            self._wake.set()

    async def run(self) -> None:
        """Check upstreams and update the quarantine until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._wake = trio.Event()
                due, self._due = self._due, []
                for runs in due:
                    nursery.start_soon(self._check, runs)
                self._check_registrations()
                self._update_quarantine()
                pause_s = (
                    POLL_INTERVAL_S
                    if self.quarantine.is_active
                    else IDLE_POLL_INTERVAL_S
                )
                with trio.move_on_after(pause_s):
                    await self._wake.wait()

    @contextlib.contextmanager
    def _count_run(self, incarnation: str, run: PromptRun) -> Iterator[None]:
        """Count a request as in flight; tell peers of a suspected one.

        It counts until its upstream is checked, if it broke off, and no longer
        once its answer has gone on for so long that it is not suspected.
        """
        upstream = short_hash(incarnation)
        with contextlib.ExitStack() as counted:
            for cause in run.causes:
                counted.enter_context(
                    self.quarantine.runs.counted(upstream, cause)
                )
            run.call_when_cleared(functools.partial(self._clear, run, counted))
            if self._is_suspected(run):
                self._on_change()
            try:
                yield
            finally:
                runs = self._runs.get(incarnation)
                if runs is not None and run in runs.unchecked_runs:
                    runs.unchecked.push(counted.pop_all())

    def _is_suspected(self, run: PromptRun) -> bool:
        """Tell whether peers are to know where a request is in flight."""
        return run.is_evidence and (
            self.quarantine.parts.is_suspect(run.prompt_parts)
            or self.quarantine.requests.is_suspect(run.request_key)
        )

    def _clear(self, run: PromptRun, counted: contextlib.ExitStack) -> None:
        """Record that no part of a prompt ends upstreams as they begin."""
        counted.close()
        self.quarantine.record_answer(run.prompt_parts)

    @contextlib.contextmanager
    def _observe(
        self, upstream: RegisteredUpstream, run: PromptRun
    ) -> Iterator[None]:
        """Keep a request as evidence of a crash, or record its answer."""
        incarnation = upstream.incarnation
        runs = self._runs.setdefault(incarnation, _UpstreamRuns(upstream))
        runs.running.add(run)
        try:
            yield
        except self._lost_errors:
            runs.add_broken(run)
            self._check_unless_cleared(runs, run)
            raise
        except trio.Cancelled:
            if not run.has_begun:
                runs.add_broken(run)
            raise
        finally:
            runs.running.discard(run)
        if run.is_end_unmarked:
            runs.unmarked.append(run)
            self._check_unless_cleared(runs, run)
        elif run.is_answered:
            self.quarantine.record_answer(run.prompt_parts, run.request_key)

    def _check_unless_cleared(
        self, runs: _UpstreamRuns, run: PromptRun
    ) -> None:
        """Start a check if a crash would count against the prompt."""
        if not self.quarantine.is_cleared(run.prompt_parts, run.request_key):
            self._start_check(runs)

    def _start_check(self, runs: _UpstreamRuns) -> None:
        """Start a check unless one runs or the upstream leaves by plan."""
        if runs.is_checking or runs.has_ended or runs.has_departed:
            return
        if self._upstreams.is_leaving(runs.upstream.incarnation):
            return
        runs.is_checking = True
        self._due.append(runs)
        self._wake.set()

    async def _check(self, runs: _UpstreamRuns) -> None:
        """Try a connection to an upstream that may have ended."""
        unmarked = set(runs.unmarked)
        await trio.sleep(CHECK_DELAY_S)
        try:
            channel = await _connect_patiently(runs.upstream.address)
        except PeerUnreachableError as exc:
            is_planned = self._upstreams.is_leaving(runs.upstream.incarnation)
            if not (runs.has_ended or is_planned):
                self._record_crash(runs, exc.message)
            return
        finally:
            runs.is_checking = False
            runs.unchecked.close()
        channel.close()
        runs.has_departed = not self._is_registered(runs.upstream)
        runs.forget_unmarked(unmarked)
        for run in unmarked:
            self.quarantine.record_answer(run.prompt_parts, run.request_key)
        if runs.unmarked:
            self._start_check(runs)

    def _check_registrations(self) -> None:
        """Check upstreams whose registration has ended or was replaced."""
        if not self._runs:
            return
        incarnations = {
            upstream.address: upstream.incarnation
            for upstream in self._upstreams.registered_upstreams
        }
        oldest = time.monotonic() - BROKEN_RUN_RETENTION_S
        for incarnation, runs in list(self._runs.items()):
            runs.forget_old(oldest)
            current = incarnations.get(runs.upstream.address)
            if runs.is_idle:
                self._runs.pop(incarnation)
            elif current is None:
                self._start_check(runs)
            elif current != incarnation:
                self._record_crash(runs, f'its address belongs to {current}')

    def _is_registered(self, upstream: RegisteredUpstream) -> bool:
        current = self._upstreams.find(upstream.upstream_id)
        return (
            current is not None and current.incarnation == upstream.incarnation
        )

    def _record_crash(self, runs: _UpstreamRuns, reason: str) -> None:
        """Record the crash of an upstream and its prompts, if it had any."""
        crash = runs.crash()
        runs.has_ended = True
        self._runs.pop(runs.upstream.incarnation, None)
        if not (crash.first_parts or crash.requests):
            return
        UPSTREAM_CRASHES.inc()
        log_message(
            'upstream:crashed',
            upstream=runs.upstream.upstream_id,
            reason=reason,
            first_parts=crash.first_parts,
            other_parts=crash.other_parts,
            requests=crash.requests,
        )
        self.quarantine.record_crash(crash)
        self._on_change()

    def _update_quarantine(self) -> None:
        """Quarantine what is at fault and log the evidence."""
        for quarantined in self.quarantine.update():
            log_message(
                'request:quarantined'
                if is_request_key(quarantined.part)
                else 'prompt-part:quarantined',
                part=quarantined.part,
                crashes=quarantined.incarnations,
            )
            self._on_change()
        QUARANTINED_PARTS.set(self.quarantine.quarantined_count)


async def _connect_patiently(address: tuple[str, int]) -> HttpChannel:
    """Connect to an upstream that may be silent for a while.

    An attempt that the kernel dropped is repeated too late, so new ones are
    made.

    :raises PeerUnreachableError: it refuses connections, or has accepted
        none for ``MAX_SILENCE_S``.
    """
    give_up_at = time.monotonic() + MAX_SILENCE_S
    while True:
        try:
            return await connect(address, CHECK_TIMEOUT_S)
        except PeerSilentError:
            if time.monotonic() >= give_up_at:
                raise


def observe_prompt_news() -> UpstreamEnds:
    """Return an observer without upstreams, which gets all news from peers."""
    return UpstreamEnds(
        UpstreamTable(lambda: True), PromptQuarantine(), lambda: None
    )
