"""A batch fleet in one process: real sockets and files, a fake platform.

Batch processes and sidecars run as trio tasks. A killed batch process is first
disconnected from the platform and its sockets, so that the clean-up code that
its cancellation runs has no effect.
"""

import contextlib
import json
import time

import attrs
import trio

from briarrill.batch.job_finder import JobFinder, new_process_name
from briarrill.batch.job_store import JobStore
from briarrill.batch.service import BatchProcess, _ContractLookup
from briarrill.control import Control
from briarrill.coordination.acceptance import accept_version
from briarrill.coordination.admission import Admission
from briarrill.coordination.leases import Lease
from briarrill.entry.intake import FileIntake
from briarrill.errors import PeerUnreachableError, PlatformUnavailableError
from briarrill.protocol.rpc import open_rpc_pool
from briarrill.readiness import Readiness
from briarrill.runtime import Platform
from briarrill.sidecar.batch import BatchPuller
from briarrill.sidecar.online import SidecarIdentity
from briarrill.sidecar.unfinished_items import UnfinishedItems
from briarrill.state.contracts import Configuration, Contract, Model
from briarrill.state.job_directory import JobDirectory
from briarrill.state.job_records import JobRecord
from briarrill.state.membership import Membership
from briarrill.state.segment_replicas import SegmentReplicas
from briarrill.state.settings import (
    BatchSettings,
    HttpSettings,
    InstanceSettings,
    LogSettings,
    PlatformSettings,
    PortSettings,
    StoreSettings,
)
from briarrill.transport.instance_list import Instance, Role
from briarrill.transport.zmq_socket import open_router
from tests.batch.fakes import (
    MODEL,
    FakeKeyValueClient,
    FakeKeyValueState,
    FakeUpstream,
    expected_words,
    make_item_dispatcher,
    wait_ports_free,
)
from tests.sidecar.sidecar_setup import make_batch_runner

CONTRACT = 'kinship'
DEFAULT_PORTS = PortSettings()
UNUSED_URL = 'http://127.0.0.1'
FAR_FUTURE_DUE_AT = 10**10
UNUSED_URL = 'http://127.0.0.1:1'


@attrs.define
class Member:
    """A trio task that simulates one batch process or sidecar."""

    number: int
    nursery: trio.Nursery
    client: FakeKeyValueClient | None = None
    batch: BatchProcess | None = None
    lease: Lease | None = None
    stop: trio.Event = attrs.field(factory=trio.Event)
    ended: trio.Event = attrs.field(factory=trio.Event)

    def kill(self):
        """End the task like kill -9: its clean-up has no effect."""
        if self.client is not None:
            self.client.is_disconnected = True
            self.batch.dispatcher._socket.send = _raise_peer_unreachable
        self.nursery.cancel_scope.cancel()


def _raise_peer_unreachable(_frames):
    raise PeerUnreachableError('killed')


class BatchFleet:
    """Batch processes, sidecars and an entry's job directory.

    ``prompts`` maps each custom_id to its prompt, ``started_prompts`` lists
    the prompts in the order in which upstreams began to run them.
    """

    def __init__(self, network, folder, *, copies=2, batches=2, slots=4):
        self.network = network
        self.folder = folder
        self.copies = copies
        self.slots = slots
        self.store = FakeKeyValueState()
        self.token_interval_s = 0.002
        self.lease_ttl_s = 1
        self.failing_prompts = set()
        self.started_prompts = []
        self.running_count = 0
        self.prompts = {}
        self.members = {}
        self.contract = Contract(api_key_sha256=(), models=(MODEL,))
        self.instances = tuple(
            Instance(
                name=f'entry-{number}',
                host=f'{network}.{10 + number}',
                failure_domain=f'domain-{number % 3}',
                region='lutruwita',
                roles=(Role.BATCH,),
            )
            for number in range(batches)
        )

    async def fetch(self):
        """Return the instance list."""
        return self.instances

    async def start(self, nursery, caller, *, sidecars=2):
        self.nursery = nursery
        self.caller = caller
        self.client = FakeKeyValueClient(self.store)
        self.control = self._control(self.instances[0], self.client)
        self.directory = JobDirectory(
            key_value=self.client,
            caller=caller,
            membership=self.control.membership,
            port=DEFAULT_PORTS.batch_store,
            nursery=nursery,
        )
        self.segments = SegmentReplicas(
            caller=caller,
            membership=self.control.membership,
            port=DEFAULT_PORTS.batch_store,
            replica_count=self.copies,
        )
        cfg = Configuration(
            contracts={CONTRACT: self.contract}, models={MODEL: Model('p')}
        )
        await accept_version(self.client, cfg, 0, author='x', created_at=1)
        for number, _ in enumerate(self.instances):
            await self.start_batch(number)
        for number in range(sidecars):
            await self.start_sidecar(number)

    async def start_batch(self, number):
        """Start a batch process on an instance's data folder."""
        return await self.nursery.start(self._run_batch, number)

    async def start_sidecar(self, number):
        """Start a sidecar with an upstream."""
        return await self.nursery.start(self._run_sidecar, number)

    async def upload(self, count, id_prefix=''):
        """Store an input file of count items and return its record."""
        lines = []
        for number in range(count):
            custom_id = f'{id_prefix}id-{number}'
            self.prompts[custom_id] = f'{id_prefix}prompt {number}'
            message = {'role': 'user', 'content': self.prompts[custom_id]}
            body = {'model': MODEL, 'messages': [message]}
            line = {
                'custom_id': custom_id,
                'method': 'POST',
                'url': '/v1/chat/completions',
                'body': body,
            }
            lines.append(json.dumps(line))
        return await self.upload_bytes('\n'.join(lines).encode())

    async def upload_bytes(self, body):
        async def parts():
            yield body

        intake = FileIntake(self.segments, CONTRACT, 10**9)
        record = await intake.store(parts())
        return await self.directory.create_file(record)

    def make_job_record(
        self, file_record, name='job-1', due_at=FAR_FUTURE_DUE_AT
    ):
        return JobRecord(
            job_id=name,
            contract=CONTRACT,
            input_file_id=file_record.file_id,
            total=file_record.lines,
            endpoint='/v1/chat/completions',
            created_at=int(time.time()),
            due_at=due_at,
            writer=f'entry {time.monotonic()}',
        )

    async def create_job(self, count, id_prefix='', name='job-1'):
        record = await self.upload(count, id_prefix)
        return await self.directory.create_job(
            self.make_job_record(record, name)
        )

    async def find_job(self, name='job-1'):
        """Return a job's record; retry through outages for 5 s."""
        with trio.fail_after(5):
            while True:
                try:
                    return await self.directory.find_job(CONTRACT, name)
                except PlatformUnavailableError:
                    await trio.sleep(0.02)

    async def wait_job_final(self, name='job-1', limit_s=30):
        with trio.fail_after(limit_s):
            while True:
                job = await self.find_job(name)
                if job.state.is_final:
                    return job
                await trio.sleep(0.02)

    async def wait_items_started(self, count):
        """Wait until upstreams have begun to run count items."""
        with trio.fail_after(20):
            while len(self.started_prompts) < count:
                await trio.sleep(0.002)

    async def read_results(self, job):
        """Return custom_id and parsed line of each committed result."""
        rows = []
        for segment in job.results:
            body = await self.segments.get(segment.ref)
            rows.extend(json.loads(line) for line in body.splitlines())
        return [(row['custom_id'], row) for row in rows]

    async def check_results_complete(self, job, id_prefix=''):
        """Check that each item has exactly one result and its own response."""
        rows = await self.read_results(job)
        expected_ids = [
            key for key in self.prompts if key.startswith(f'{id_prefix}id-')
        ]
        assert sorted(custom_id for custom_id, _ in rows) == sorted(
            expected_ids
        )
        for custom_id, row in rows:
            self.check_response(self.prompts[custom_id], row)
        assert (job.done, job.total) == (len(expected_ids), len(expected_ids))

    def owner_of(self, job):
        """Return the member that owns a job.

        :raises AssertionError: no member does.
        """
        for member in self.members.values():
            if member.batch and member.batch.store.process == job.owner:
                return member
        raise AssertionError(f'no member for job owner {job.owner!r}')

    async def wait_job_owner(self, name='job-1'):
        """Wait until a job has an owner and return the member."""
        with trio.fail_after(10):
            while True:
                job = await self.find_job(name)
                if job.owner:
                    return self.owner_of(job)
                await trio.sleep(0.01)

    def check_response(self, prompt, row):
        if prompt in self.failing_prompts:
            assert row['error'] is not None
            return
        message = row['response']['body']['choices'][0]['message']
        assert message['content'] == ''.join(expected_words(prompt))

    def _control(self, instance, client):
        return Control(
            instance=InstanceSettings(
                instance.name,
                instance.host,
                instance.failure_domain,
                instance.region,
            ),
            role=Role.BATCH,
            ports=DEFAULT_PORTS,
            platform=Platform(client, self),
            readiness=Readiness(),
            caller=self.caller,
            membership=Membership(self.instances),
        )

    async def _run_batch(self, number, task_status=None):
        instance = self.instances[number]
        await wait_ports_free(instance.host, DEFAULT_PORTS)
        client = FakeKeyValueClient(self.store)
        control = self._control(instance, client)
        cfg = BatchSettings(
            instance=control.instance,
            platform=PlatformSettings(UNUSED_URL, UNUSED_URL, 0.2),
            log=LogSettings('unused.log'),
            metrics=HttpSettings(9103),
            store=StoreSettings(
                str(self.folder / f'data-{number}'), self.copies
            ),
        )
        process = new_process_name(instance.name)
        lease = Lease(client, process, self.lease_ttl_s)
        store = JobStore(client, lease, process, instance.host)
        with open_router(instance.host, DEFAULT_PORTS.batch_items) as router:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lease.run)
                batch = BatchProcess(
                    cfg=cfg,
                    control=control,
                    store=store,
                    segment_replicas=SegmentReplicas(
                        caller=self.caller,
                        membership=control.membership,
                        port=DEFAULT_PORTS.batch_store,
                        replica_count=self.copies,
                    ),
                    dispatcher=make_item_dispatcher(
                        router, _ContractLookup(control).find
                    ),
                    finder=JobFinder(
                        store,
                        control.membership,
                        self.caller,
                        DEFAULT_PORTS.batch_store,
                    ),
                )
                member = Member(number, nursery, client, batch, lease)
                self.members[f'batch-{number}'] = member
                task_status.started(member)
                await batch.run(member.stop.wait)
                nursery.cancel_scope.cancel()
        if not client.is_disconnected:
            with contextlib.suppress(PlatformUnavailableError):
                await client.revoke_lease(lease.lease_id)
        member.ended.set()

    async def _run_sidecar(self, number, task_status=None):
        runner = make_batch_runner(
            FakeUpstream(self), Admission(self.slots, 0)
        )
        unfinished_items = UnfinishedItems()
        async with trio.open_nursery() as nursery:
            for instance in self.instances:
                puller = BatchPuller(
                    SidecarIdentity(process=f'upstream-{number}'),
                    runner,
                    Readiness(),
                    instance.name,
                    unfinished_items,
                )
                puller.models = (MODEL,)
                nursery.start_soon(
                    puller.run, instance.host, DEFAULT_PORTS.batch_items
                )
            member = Member(number, nursery)
            self.members[f'sidecar-{number}'] = member
            task_status.started(member)


@contextlib.asynccontextmanager
async def open_batch_fleet(
    network, folder, *, sidecars=2, setup=None, **options
):
    """Run a batch fleet until exit.

    :param setup: changes the fleet before it starts.
    """
    fleet = BatchFleet(network, folder, **options)
    if setup is not None:
        setup(fleet)
    async with open_rpc_pool() as caller, trio.open_nursery() as nursery:
        await fleet.start(nursery, caller, sidecars=sidecars)
        yield fleet
        nursery.cancel_scope.cancel()
