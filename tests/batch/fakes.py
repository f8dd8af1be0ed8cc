"""Fake key-value service and fake upstream for tests of the batch fleet."""

import contextlib
import json
import socket
import time

import attrs
import httpx
import trio
import xxhash

from briarrill.batch.item_dispatcher import ItemDispatcher
from briarrill.batch.item_sources import ItemSources
from briarrill.coordination.upstream_ends import observe_prompt_news
from briarrill.errors import PlatformUnavailableError, WriteUnknownError
from briarrill.sidecar.upstreams import Upstream, UpstreamResponse
from briarrill.transport.key_value import KeyValue, KeyValueService

MODEL = 'clause-drafter'
OUTAGE_RETRY_AFTER_S = 5.0


@attrs.define
class FakeKeyValueState:
    """Contents, counters and injected faults of the key-value service.

    :param is_down: every call of every client fails.
    :param replies_to_lose: writes to apply but report as unknown.
    """

    is_down: bool = False
    replies_to_lose: int = 0
    revision: int = 0
    writes: int = 0
    bytes_written: int = 0
    reads: int = 0
    entries: dict = attrs.field(factory=dict)
    leases: dict = attrs.field(factory=dict)

    def remove_expired_leases(self):
        now = time.monotonic()
        for lease_id, (expires_at, _) in list(self.leases.items()):
            if expires_at < now:
                self.end_lease(lease_id)

    def end_lease(self, lease_id):
        self.leases.pop(lease_id, None)
        for key, (_, lease) in list(self.entries.items()):
            if lease == lease_id:
                self.entries.pop(key)

    def put(self, key, body, lease_id):
        self.revision += 1
        self.writes += 1
        self.bytes_written += len(body)
        stored = KeyValue(key, body, self.revision)
        self.entries[key] = (stored, lease_id)


class FakeKeyValueClient(KeyValueService):
    """A process's client of the key-value service; fails if disconnected."""

    def __init__(self, store):
        self.store = store
        self.is_disconnected = False

    async def read(self, key):
        await self._begin_call()
        self.store.reads += 1
        return self._find(key)

    async def read_prefix(self, prefix, *, after='', limit=0):
        await self._begin_call()
        self.store.reads += 1
        keys = [key for key in self.store.entries if key.startswith(prefix)]
        chosen = sorted(key for key in keys if key > after)
        return [self._find(key) for key in chosen[: limit or None]]

    async def transact(self, changes):
        await self._begin_call()
        if not all(map(self._revision_matches, changes)):
            return None
        for change in changes:
            if change.body is None:
                self.store.entries.pop(change.key, None)
            else:
                self.store.put(change.key, change.body, change.lease_id)
        revision = self.store.revision
        if self.store.replies_to_lose and changes[0].body is not None:
            self.store.replies_to_lose -= 1
            raise WriteUnknownError(
                'reply lost', retry_after_s=OUTAGE_RETRY_AFTER_S
            )
        return revision

    async def grant_lease(self, ttl_s):
        await self._begin_call()
        self.store.revision += 1
        lease_id = self.store.revision
        self.store.leases[lease_id] = (time.monotonic() + ttl_s, ttl_s)
        return lease_id

    async def keep_lease_alive(self, lease_id):
        await self._begin_call()
        if lease_id not in self.store.leases:
            return 0
        _, ttl_s = self.store.leases[lease_id]
        self.store.leases[lease_id] = (time.monotonic() + ttl_s, ttl_s)
        return ttl_s

    async def revoke_lease(self, lease_id):
        await self._begin_call()
        self.store.end_lease(lease_id)

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        """Yield nothing; no test here changes a watched key."""
        await trio.sleep_forever()
        yield

    def _find(self, key):
        stored = self.store.entries.get(key)
        return stored[0] if stored else None

    def _revision(self, key):
        stored = self._find(key)
        return stored.mod_revision if stored else 0

    def _revision_matches(self, change):
        expected_revision = change.mod_revision
        return (
            expected_revision is None
            or self._revision(change.key) == expected_revision
        )

    async def _begin_call(self):
        await trio.lowlevel.checkpoint()
        if self.is_disconnected or self.store.is_down:
            raise PlatformUnavailableError(
                'down', retry_after_s=OUTAGE_RETRY_AFTER_S
            )
        self.store.remove_expired_leases()


def expected_words(prompt):
    """Return the words that every fake upstream generates for a prompt."""
    digest = xxhash.xxh3_128_hexdigest(prompt.encode())
    return [f'{digest[start : start + 8]} ' for start in (0, 8, 16)]


class FakeUpstream(Upstream):
    """Streams expected_words of a prompt; fails for failing prompts."""

    def __init__(self, fleet):
        super().__init__(httpx.AsyncClient())
        self.fleet = fleet

    async def fetch_models(self):
        return (MODEL,)

    def iter_chunks(self, reply):
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def send(self, req):
        body = json.loads(req.body)
        prompt = body['messages'][0]['content']
        done = 0
        if body.get('continue_final_message'):
            done = len(body['messages'][-1]['content'].split())
        self.fleet.started_prompts.append(prompt)
        self.fleet.running_count += 1
        try:
            status = 500 if prompt in self.fleet.failing_prompts else 200
            yield UpstreamResponse(status, '', self._words(prompt, done))
        finally:
            self.fleet.running_count -= 1

    async def _words(self, prompt, done):
        for word in expected_words(prompt)[done:]:
            await trio.sleep(self.fleet.token_interval_s)
            choice = {'index': 0, 'delta': {'content': word}}
            event = json.dumps({'id': 'x', 'choices': [choice]})
            yield f'data: {event}\n\n'.encode()
        yield b'data: [DONE]\n\n'


async def wait_ports_free(host, ports):
    """Wait until ports are free; ZeroMQ closes sockets asynchronously."""
    with trio.fail_after(5):
        for port in (
            ports.batch_items,
            ports.batch_store,
            ports.batch_control,
        ):
            while not _is_free(host, port):
                await trio.sleep(0.01)


def _is_free(host, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):
            probe.bind((host, port))
            return True
    return False


def make_item_dispatcher(router, find_contract):
    """Return a dispatcher without jobs and sidecars."""
    return ItemDispatcher(
        router, ItemSources(find_contract), observe_prompt_news()
    )
