"""bench.online.replay: sends a trace through a rig and counts outcomes."""

import statistics
import time
from collections.abc import Sequence

import attrs
import trio

from bench.traces import Arrival, Trace
from briarrill.entry.links import OnlineRequest
from briarrill.errors import BriarrillError

from .rig import MODEL, PATH, Rig, RigPlan, completion_body, open_rig

__all__ = ('Outcome', 'percentile', 'replay')

# time for batch work to fill the slots before the first arrival
WARM_UP_S = 3.0


def percentile(samples: Sequence[float], percent: int) -> float:
    """Return a percentile of the samples, 1 to 99, interpolated."""
    return statistics.quantiles(samples, n=100, method='inclusive')[
        percent - 1
    ]


@attrs.define
class Outcome:
    """Counters and times of a replay.

    :param seconds: time from the start of the trace to the last arrival.
    :param first_token_s: times from the request to the first token.
    :param in_time: requests that finished before their deadline and before
        the last arrival.
    :param refused: requests that were rejected without being run.
    :param failed: requests that failed, possibly after a start.
    :param online_tokens: tokens of online responses until the last arrival.
    :param batch_tokens: tokens of batch items until the last arrival.
    """

    seconds: float = 0.0
    first_token_s: list[float] = attrs.field(factory=list)
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    online_tokens: int = 0
    batch_tokens: int = 0

    @property
    def p50_ms(self) -> float:
        """Return the median time to the first token in milliseconds."""
        return percentile(self.first_token_s, 50) * 1000

    @property
    def p99_ms(self) -> float:
        """Return the p99 time to the first token in milliseconds."""
        return percentile(self.first_token_s, 99) * 1000

    @property
    def goodput(self) -> float:
        """Return the requests per second that finished in time."""
        return self.in_time / self.seconds

    @property
    def batch_rate(self) -> float:
        """Return batch tokens per second."""
        return self.batch_tokens / self.seconds

    @property
    def online_rate(self) -> float:
        """Return online tokens per second."""
        return self.online_tokens / self.seconds


async def replay(
    plan: RigPlan, trace: Trace, *, deadline_s: float = 60.0
) -> Outcome:
    """Open a rig, send the arrivals at their times and count outcomes."""
    outcome = Outcome()
    async with open_rig(plan, trace.seed) as rig:
        await trio.sleep(WARM_UP_S)
        started_s = time.monotonic()
        tokens_before = await rig.batch_tokens()
        async with trio.open_nursery() as nursery:
            for number, arrival in enumerate(trace.arrivals):
                wait_s = started_s + arrival.at_s - time.monotonic()
                await trio.sleep(max(0, wait_s))
                req = _request(arrival, number, deadline_s)
                nursery.start_soon(_call, rig, req, outcome)
            outcome.seconds = time.monotonic() - started_s
            online_tokens = outcome.online_tokens
            batch_tokens = await rig.batch_tokens()
        outcome.online_tokens = online_tokens
        outcome.batch_tokens = batch_tokens - tokens_before
    return outcome


def _request(
    arrival: Arrival, number: int, deadline_s: float
) -> OnlineRequest:
    return OnlineRequest(
        request_id=f'r{number}',
        contract=arrival.contract,
        target=MODEL,
        method='POST',
        path=PATH,
        body=completion_body(arrival.tokens),
        idempotent=True,
        deadline_s=time.monotonic() + deadline_s,
    )


async def _call(rig: Rig, req: OnlineRequest, outcome: Outcome) -> None:
    try:
        await _read_response(rig, req, outcome)
    except BriarrillError as exc:
        outcome.refused += exc.ran.value == 'no'
        outcome.failed += exc.ran.value != 'no'
        return
    has_ended = outcome.seconds > 0
    outcome.in_time += time.monotonic() < req.deadline_s and not has_ended


async def _read_response(
    rig: Rig, req: OnlineRequest, outcome: Outcome
) -> None:
    sent_s = time.monotonic()
    response = await rig.dispatcher.dispatch(req)
    # the first chunk holds the role and no token
    await response.next_chunk()
    await response.next_chunk()
    outcome.first_token_s.append(time.monotonic() - sent_s)
    while await response.next_chunk() is not None:
        outcome.online_tokens += 1
