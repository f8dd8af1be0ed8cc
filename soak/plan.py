"""soak.plan: jobs and faults of one round, drawn by a seed."""

import enum
import random

import attrs

__all__ = (
    'Fault',
    'CUSTOMERS',
    'FaultKind',
    'JOBS_ROUTES',
    'Plan',
    'PlannedJob',
    'PART_PREFIX',
    'PART_RUNNERS',
    'RUNNERS',
    'Work',
    'api_key',
    'customer_of',
    'draw_plan',
    'part_of',
)

RUNNERS = 6

#: Runners of the service to which a part of the first route is sent at times.
PART_RUNNERS = 2

ITEMS_IN_JOB = 4
FIRST_PARTS = 5

#: Names of the routes of jobs; the second one is removed at times.
JOBS_ROUTES = ('jobs', 'passing')
PASSING_ROUTE_SHARE = 0.15

#: Prefix of every second item of the first route of jobs.
PART_PREFIX = f'/{JOBS_ROUTES[0]}/part/'

#: Names of the customers of rounds that have some.
CUSTOMERS = ('north', 'south')

# seconds of a round in which faults begin
TROUBLE_S = (8.0, 20.0)

# series of faults in one round, which overlap
SERIES = (2, 6)

# seconds to the first events of items, by round
FIRST_PAUSES_S = ((0.2, 0.6, 1.6), (1.6,))

# share of rounds that have customers
CUSTOMERS_SHARE = 0.5

# share of rounds in which the first route of jobs is split
SPLITS_SHARE = 0.3

# seconds between two jobs
JOB_PAUSES_S = (0.4, 1.1)


class FaultKind(enum.Enum):
    """What happens to runners, processes or the store.

    CRASH: runners end and register anew under a new identifier, REBORN: under
    the one that they had. LIMIT: they name ``Server-Limit``. MUTE: they send
    nothing. FULL: they answer 503 and BUSY: 429, with ``Retry-After``.
    REMOVE_ROUTE: the second route of jobs is removed and added again. REVOKE:
    each customer gets a new key, and its old one is taken away. SPLIT_ROUTE:
    a part of the first route of jobs becomes a route of another service, which
    has the name of the first one, and is joined with it again.
    """

    CRASH = 'crash'
    REBORN = 'reborn'
    LIMIT = 'limit'
    MUTE = 'mute'
    FULL = 'full'
    BUSY = 'busy'
    KILL = 'kill'
    TERMINATE = 'terminate'
    PAUSE = 'pause'
    STORE_ERRORS = 'store-errors'
    STORE_SILENT = 'store-silent'
    COMPACT = 'compact'
    REMOVE_ROUTE = 'remove-route'
    REVOKE = 'revoke'
    SPLIT_ROUTE = 'split-route'


RUNNER_FAULTS = frozenset(
    (
        FaultKind.CRASH,
        FaultKind.REBORN,
        FaultKind.LIMIT,
        FaultKind.MUTE,
        FaultKind.FULL,
        FaultKind.BUSY,
    )
)
PROCESS_FAULTS = frozenset(
    (FaultKind.KILL, FaultKind.TERMINATE, FaultKind.PAUSE)
)


@attrs.frozen
class Fault:
    """One fault.

    :param at_s: seconds from the begin of the round.
    :param targets: numbers of the runners or processes that have it.
    :param lasts_s: seconds until it ends, or until the next start.
    :param amount: requests a second of a limit, seconds of a ``Retry-After``.
    """

    at_s: float
    kind: FaultKind
    targets: tuple[int, ...] = ()
    lasts_s: float = 0
    amount: float = 0

    def __str__(self) -> str:
        """Return a line for the run's log."""
        return (
            f'{self.at_s:.2f} {self.kind.value} {list(self.targets)} '
            f'lasts_s={self.lasts_s:.2f} amount={self.amount:.2f}'
        )


@attrs.frozen
class Work:
    """How a runner runs a request: events, and the pauses before them."""

    first_s: float
    gap_s: float
    events: int


@attrs.frozen
class PlannedJob:
    """A job that is submitted, with the first part of its prompts."""

    at_s: float
    part: str
    items: tuple[Work, ...]
    route: str = JOBS_ROUTES[0]


@attrs.frozen
class Plan:
    """A round.

    :param batches: number of batch processes.
    :param online_pause_s: seconds between online requests, 0 for none.
    :param has_customers: whether requests carry keys of customers.
    """

    jobs: tuple[PlannedJob, ...]
    faults: tuple[Fault, ...]
    entries: int = 2
    batches: int = 3
    online_pause_s: float = 0
    has_customers: bool = False


def customer_of(number: int) -> str:
    """Return the customer of a job or a request."""
    return CUSTOMERS[number % len(CUSTOMERS)]


def api_key(customer: str, turn: int) -> str:
    """Return the key of a customer after so many that were taken away."""
    return f'{customer}-key-{turn}'


def part_of(number: int) -> str:
    """Return the first part of the prompts of a job."""
    return f'a{number % FIRST_PARTS}'


def draw_plan(seed: int, number: int) -> Plan:
    """Draw the round of this number."""
    rng = random.Random(f'{seed}/{number}')
    first_pauses_s = rng.choice(FIRST_PAUSES_S)
    trouble_s = rng.uniform(*TROUBLE_S)
    faults: list[Fault] = []
    for _ in range(rng.randint(*SERIES)):
        draw = rng.choice(DRAWERS)
        faults += draw(rng, rng.uniform(1, trouble_s / 2))
    jobs = _draw_jobs(rng, trouble_s, first_pauses_s)
    online_pause_s = rng.choice((0, 0.5, 2))
    has_customers = rng.random() < CUSTOMERS_SHARE
    if has_customers:
        faults += _draw_revocations(rng)
    if rng.random() < SPLITS_SHARE:
        faults += _draw_splits(rng)
    return Plan(
        jobs=jobs,
        faults=tuple(sorted(faults, key=lambda fault: fault.at_s)),
        online_pause_s=online_pause_s,
        has_customers=has_customers,
    )


def _draw_revocations(rng: random.Random) -> list[Fault]:
    """Keys are taken away, one after the other."""
    at_s = rng.uniform(1, 4)
    return [
        Fault(at_s + turn * 4, FaultKind.REVOKE, lasts_s=2)
        for turn in range(rng.randint(1, 2))
    ]


def _draw_splits(rng: random.Random) -> list[Fault]:
    """A part of a route gets a service of its own, once or repeatedly."""
    at_s = rng.uniform(1, 4)
    lasts_s = rng.uniform(1, 3)
    return [
        Fault(at_s + 2 * lasts_s * turn, FaultKind.SPLIT_ROUTE, (), lasts_s)
        for turn in range(rng.randint(1, 3))
    ]


def _draw_jobs(
    rng: random.Random, trouble_s: float, first_pauses_s: tuple[float, ...]
) -> tuple[PlannedJob, ...]:
    jobs: list[PlannedJob] = []
    at_s = 0.0
    while at_s < trouble_s:
        route = JOBS_ROUTES[rng.random() < PASSING_ROUTE_SHARE]
        items = tuple(
            _draw_work(rng, rng.choice(first_pauses_s))
            for _ in range(rng.randint(1, ITEMS_IN_JOB))
        )
        jobs.append(PlannedJob(at_s, part_of(len(jobs)), items, route))
        at_s += rng.uniform(*JOB_PAUSES_S)
    return tuple(jobs)


def _draw_work(rng: random.Random, first_s: float) -> Work:
    events = rng.randint(3, 12)
    whole_s = rng.uniform(first_s + 0.5, 5)
    return Work(first_s, (whole_s - first_s) / events, events)


def _some(
    rng: random.Random, count: int, share_of_all: float
) -> tuple[int, ...]:
    """Draw all of so many targets, or some."""
    if rng.random() < share_of_all:
        return tuple(range(count))
    return tuple(rng.sample(range(count), rng.randint(1, count)))


def _draw_crashes(rng: random.Random, at_s: float) -> list[Fault]:
    """Runners end together, once or again and again."""
    kind = rng.choice((FaultKind.CRASH, FaultKind.CRASH, FaultKind.REBORN))
    targets = _some(rng, RUNNERS, 0.7)
    pause_s = rng.uniform(1.5, 2)
    return [
        Fault(at_s + pause_s * turn, kind, targets, 0.6)
        for turn in range(rng.choice((1, 2, 4, 6, 9, 12)))
    ]


def _draw_rolling_crashes(rng: random.Random, at_s: float) -> list[Fault]:
    """One runner after the other ends."""
    kind = rng.choice((FaultKind.CRASH, FaultKind.REBORN))
    pause_s = rng.uniform(0.3, 1)
    return [
        Fault(at_s + pause_s * turn, kind, (turn % RUNNERS,), 0.6)
        for turn in range(rng.choice((6, 12, 18)))
    ]


def _draw_runner_state(rng: random.Random, at_s: float) -> list[Fault]:
    """Runners limit, refuse or are mute for some seconds."""
    kind = rng.choice(
        (FaultKind.LIMIT, FaultKind.MUTE, FaultKind.FULL, FaultKind.BUSY)
    )
    amount = 0.0
    if kind is FaultKind.LIMIT:
        amount = rng.choice((0.5, 1, 2, 4))
    elif kind is not FaultKind.MUTE:
        amount = rng.choice((0, 0.5, 3, 120))
    targets = _some(rng, RUNNERS, 0.6)
    return [Fault(at_s, kind, targets, rng.uniform(2, 8), amount)]


def _draw_process_faults(rng: random.Random, at_s: float) -> list[Fault]:
    """Processes are killed, stopped or paused, in turn or together."""
    return [
        Fault(
            at_s + rng.uniform(0, 6),
            rng.choice(sorted(PROCESS_FAULTS, key=lambda kind: kind.value)),
            (rng.randrange(5),),
            rng.uniform(0.2, 4),
        )
        for _ in range(rng.randint(1, 4))
    ]


def _draw_store_faults(rng: random.Random, at_s: float) -> list[Fault]:
    kind = rng.choice((FaultKind.STORE_ERRORS, FaultKind.STORE_SILENT))
    return [
        Fault(at_s, kind, lasts_s=rng.uniform(1, 7)),
        Fault(at_s + rng.uniform(0, 4), FaultKind.COMPACT),
    ]


def _draw_route_changes(rng: random.Random, at_s: float) -> list[Fault]:
    return [
        Fault(at_s + 2 * turn, FaultKind.REMOVE_ROUTE, lasts_s=1)
        for turn in range(rng.randint(1, 4))
    ]


DRAWERS = (
    _draw_crashes,
    _draw_crashes,
    _draw_rolling_crashes,
    _draw_runner_state,
    _draw_runner_state,
    _draw_process_faults,
    _draw_process_faults,
    _draw_store_faults,
    _draw_route_changes,
)
