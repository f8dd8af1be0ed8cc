"""soak.callers: submits jobs, reads their results, sends online requests."""

import base64
import contextlib
import itertools
import json
from collections import Counter
from collections.abc import Callable, Sequence

import attrs
import trio

from briarrill.errors import BriarrillError
from briarrill.transport.http_messages import RequestHead
from standins.platform_processes import FRONT_PORT, send_request_to

from .plan import (
    CUSTOMERS,
    JOBS_ROUTES,
    PART_PREFIX,
    PlannedJob,
    Work,
    api_key,
    customer_of,
    part_of,
)
from .record import Item, Job, Page, Record

__all__ = ('Callers',)

# reads of one job come about twice a second
READ_PAUSE_S = 0.6
SUBMIT_PAUSE_S = 0.5

# attempts to submit a job, which a silent store makes fail for some seconds
SUBMIT_ATTEMPTS = 60

# longest time that a caller waits for a response
CALL_LIMIT_S = 6.5

# time after which each entry refuses a key that was taken away; less on a
# machine that is not busy with other things
REVOCATION_LIMIT_S = 20

ONLINE_WORK = Work(first_s=0.1, gap_s=0.05, events=4)

TOKENS = 100


@attrs.define
class Callers:
    """Callers of all jobs of a round.

    :param hosts: addresses of the entries.
    :param clock: returns the seconds from the begin of the round.
    :param key_turn: returns how many keys of each customer were taken away;
        none if there are no customers.
    :ivar statuses: statuses of submissions and of online requests.
    :ivar last_read_s: when an entry sent a page last.
    """

    hosts: Sequence[str]
    record: Record
    clock: Callable[[], float]
    name: str
    key_turn: Callable[[], int] | None = None
    statuses: Counter[str] = attrs.field(factory=Counter)
    last_read_s: float = 0
    _turns: 'itertools.count[int]' = attrs.field(factory=itertools.count)

    async def run_job(self, number: int, planned: PlannedJob) -> None:
        """Submit a job and read it until all of its items are listed."""
        await trio.sleep(max(0, planned.at_s - self.clock()))
        job_id = f'{self.name}-j{number}'
        items = tuple(
            Item(f'{job_id}-{index}', work)
            for index, work in enumerate(planned.items)
        )
        customer = self._customer_of(number)
        names = (job_id, *(item.item_id for item in items))
        self.record.customers.update(dict.fromkeys(names, customer))
        if not await self._submit(job_id, planned, items):
            return
        self.record.jobs[job_id] = Job(
            job_id, planned.route, self.clock(), items
        )
        while job_id in self.record.unlisted():
            await self.read(job_id, len(self.record.listed.get(job_id, ())))
            await trio.sleep(READ_PAUSE_S)

    async def read(self, job_id: str, position: int, host: str = '') -> bool:
        """Read a job from a position; return whether an entry sent a page.

        :param host: entry that is asked, default the next one.
        """
        status, body = await self._call(
            RequestHead(
                b'GET',
                f'/lots/{job_id}?after={position}'.encode(),
                (*_headers('r1'), *self._credentials(job_id)),
            ),
            host=host,
        )
        if status != 200:
            return False
        self.last_read_s = self.clock()
        page = json.loads(body)
        results = tuple(
            (entry['id'], entry['state'], entry.get('output', ''))
            for entry in page['results']
        )
        self.record.add_page(
            Page(job_id, self.clock(), position, page['total'], results)
        )
        return True

    async def read_all_again(self) -> None:
        """Read each job from the start at each entry."""
        for job_id, host in itertools.product(self.record.jobs, self.hosts):
            while not await self.read(job_id, 0, host):
                await trio.sleep(READ_PAUSE_S)

    async def try_others(self) -> None:
        """Ask each entry for what it may not show.

        That is a job by a key of another customer, and by one that was taken
        away, of which each entry is to have learnt.
        """
        if self.key_turn is None:
            return
        learnt_at_s = self.clock() + REVOCATION_LIMIT_S
        for job_id, host in itertools.product(self.record.jobs, self.hosts):
            own = self.record.customers[job_id]
            for customer, turn in itertools.product(
                CUSTOMERS, range(self.key_turn() + 1)
            ):
                key = api_key(customer, turn)
                if key == api_key(own, self.key_turn()):
                    continue
                while await self._is_shown(job_id, host, key):
                    if customer != own or self.clock() > learnt_at_s:
                        self.record.odd_accesses.append(
                            f'{host} shows {job_id} of {own} to {key}'
                        )
                        break
                    await trio.sleep(READ_PAUSE_S)

    async def ask_online(self, pause_s: float) -> None:
        """Send online requests until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in itertools.count():
                nursery.start_soon(self._ask, number)
                await trio.sleep(pause_s)

    async def _submit(
        self, job_id: str, planned: PlannedJob, items: Sequence[Item]
    ) -> bool:
        """Submit a job until it is accepted; return whether it is."""
        fields = [
            {
                'id': item.item_id,
                'path': _path(planned.route, index),
                'headers': {
                    'Briarrill-Model': 'm',
                    'Briarrill-Prompt-Prefix': (
                        f'{planned.part}:{TOKENS},{item.item_id}:{TOKENS}'
                    ),
                },
                'body': base64.b64encode(_encode_work(item.work)).decode(),
                'tokens': TOKENS,
            }
            for index, item in enumerate(items)
        ]
        body = json.dumps({'items': fields}).encode()
        target = f'/{planned.route}/'.encode()
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = await self._call(
                RequestHead(
                    b'POST',
                    target,
                    (*_headers(job_id, body), *self._credentials(job_id)),
                ),
                body,
            )
            self.statuses[f'job {status}'] += 1
            if status == 202:
                return True
            await trio.sleep(SUBMIT_PAUSE_S)
        return False

    async def _ask(self, number: int) -> None:
        request_id = f'{self.name}-o{number}'
        item = Item(request_id, ONLINE_WORK)
        body = _encode_work(ONLINE_WORK)
        part = part_of(number)
        prefix = f'{part}:{TOKENS},{request_id}:{TOKENS}'
        self.record.customers[request_id] = self._customer_of(number)
        status, answer = await self._call(
            RequestHead(
                b'POST',
                b'/online/x',
                (
                    *_headers(request_id, body),
                    *self._credentials(request_id),
                    (b'briarrill-deadline-ms', b'4000'),
                    (b'briarrill-prompt-prefix', prefix.encode()),
                ),
            ),
            body,
        )
        self.statuses[f'online {status}'] += 1
        events = [
            line.removeprefix('data: ')
            for line in answer.decode().splitlines()
            if line.startswith('data: ')
        ]
        if status == 200 and '\n'.join(events) != item.output:
            self.record.odd_streams.append(f'{request_id}: {events}')

    async def _is_shown(self, job_id: str, host: str, key: str) -> bool:
        target = f'/lots/{job_id}?after=0'.encode()
        headers = (*_headers('r1'), _authorization(key))
        status, _ = await self._call(
            RequestHead(b'GET', target, headers), host=host
        )
        return status == 200

    def _customer_of(self, number: int) -> str:
        return '' if self.key_turn is None else customer_of(number)

    def _credentials(self, name: str) -> tuple[tuple[bytes, bytes], ...]:
        """Return the key of the customer of a request, and a forged name."""
        if self.key_turn is None:
            return ()
        key = api_key(self.record.customers[name], self.key_turn())
        return _authorization(key), (b'briarrill-tenant', b'forged')

    async def _call(
        self, head: RequestHead, body: bytes = b'', host: str = ''
    ) -> tuple[int, bytes]:
        """Send a request to an entry; return status 0 without a response."""
        host = host or self.hosts[next(self._turns) % len(self.hosts)]
        with (
            trio.move_on_after(CALL_LIMIT_S),
            contextlib.suppress(BriarrillError, OSError),
        ):
            return await send_request_to((host, FRONT_PORT), head, body)
        return 0, b''


def _authorization(key: str) -> tuple[bytes, bytes]:
    return b'authorization', f'Bearer {key}'.encode()


def _encode_work(work: Work) -> bytes:
    return json.dumps(attrs.asdict(work)).encode()


def _path(route: str, index: int) -> str:
    """Return the path of an item of a job."""
    is_part = route == JOBS_ROUTES[0] and index % 2
    return f'{PART_PREFIX if is_part else f"/{route}/"}{index}'


def _headers(
    request_id: str, body: bytes = b''
) -> tuple[tuple[bytes, bytes], ...]:
    return (
        (b'host', b'h'),
        (b'briarrill-attempt-id', request_id.encode()),
        (b'content-length', str(len(body)).encode()),
    )
