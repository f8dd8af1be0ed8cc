"""An entry's HTTP application on a real socket, with fakes behind it."""

import contextlib
import types

import attrs
import httpx
import trio

from briarrill.entry.app import make_app
from briarrill.entry.context import EntryContext
from briarrill.entry.limits import Limits
from briarrill.errors import BriarrillError
from briarrill.protocol.messages import Finish
from briarrill.readiness import Readiness
from briarrill.state.contracts import (
    Configuration,
    Contract,
    Model,
    Service,
    hash_api_key,
)
from briarrill.state.settings import (
    EntrySettings,
    HttpSettings,
    InstanceSettings,
    LogSettings,
    PlatformSettings,
)
from briarrill.transport.http_server import DEFAULT_BOUNDS, serve_app
from briarrill.transport.key_value import KeyValue
from tests.entry.lending import LedgerLender

PORT = 8081


def _contract(api_key):
    return Contract(
        api_key_sha256=(hash_api_key(api_key),),
        models=('drafter',),
        services=('approvals',),
        requests_per_second=1e6,
        requests_in_flight=1_000,
    )


CONFIGURATION = Configuration(
    contracts={'kinship': _contract('key-1'), 'signals': _contract('key-2')},
    models={'drafter': Model('drafting'), 'other': Model('drafting')},
    services={'approvals': Service('portal', non_idempotent=('/submit',))},
)


class FakeAnswer:
    """Yields chunks, then the end or an error."""

    def __init__(self, chunks=(), error=None):
        """Start open."""
        self.chunks = iter(chunks)
        self.error = error
        self.closed = False
        self.tokens = 0
        self.finish = Finish(
            request_id='r', attempt=0, chunks=0, content_type='text/plain'
        )

    async def next_chunk(self):
        """Return a chunk, or nothing at the end."""
        await trio.lowlevel.checkpoint()
        chunk = next(self.chunks, None)
        if chunk is None and self.error is not None:
            raise self.error
        return chunk

    def close(self):
        """Remember that it was released."""
        self.closed = True


class FakeDispatcher:
    """Answers every request with :attr:`answer`."""

    def __init__(self):
        """Start with an empty answer and no requests."""
        self.requests = []
        self.answers = []
        self.make = FakeAnswer

    async def open(self, req):
        """Record the request."""
        self.requests.append(req)
        made = self.make()
        if isinstance(made, BriarrillError):
            raise made
        self.answers.append(made)
        return made


class FakeKeyValue:
    """Records in memory."""

    def __init__(self):
        """Start empty."""
        self.records = {}

    async def read(self, key):
        """Return a record or nothing."""
        body = self.records.get(key)
        return body and KeyValue(key=key, body=body, mod_revision=1)

    async def compare_and_swap(self, key, body, *, mod_revision):
        """Write a record that is not there."""
        if key in self.records:
            return None
        self.records[key] = body
        return 1


@attrs.define
class Entry:
    """A served application and its fakes."""

    host: str
    dispatcher: FakeDispatcher
    readiness: Readiness
    key_value: FakeKeyValue
    limits: Limits

    def client(self, api_key='key-1', **options):
        """Return an HTTP client with an API key."""
        return httpx.AsyncClient(
            base_url=f'http://{self.host}:{PORT}',
            headers={'Authorization': f'Bearer {api_key}'},
            trust_env=False,
            **options,
        )

    async def connect(self):
        """Return a bare connection."""
        return await trio.open_tcp_stream(self.host, PORT)


def settings(**options):
    """Return an entry's settings."""
    return EntrySettings(
        instance=InstanceSettings('entry-0', '127.0.0.1', 'a', 'r'),
        platform=PlatformSettings('http://127.0.0.1', 'http://127.0.0.1'),
        log=LogSettings('/dev/null'),
        http=HttpSettings(PORT),
        **options,
    )


@contextlib.asynccontextmanager
async def serve_entry(network, bounds=DEFAULT_BOUNDS, copies=None, **options):
    """Serve an entry with fakes behind it."""
    key_value, readiness = FakeKeyValue(), Readiness()
    readiness.has_started = True
    control = types.SimpleNamespace(
        holder=types.SimpleNamespace(current=CONFIGURATION),
        readiness=readiness,
        platform=types.SimpleNamespace(key_value=key_value),
        caller=None,
        membership=types.SimpleNamespace(live=lambda role: ()),
    )
    ctx = EntryContext(
        cfg=settings(**options),
        control=control,
        dispatcher=FakeDispatcher(),
        limits=Limits('entry-0', LedgerLender()),
        copies=copies,
    )
    host = f'{network}.1'
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            app = make_app(ctx, nursery)
            nursery.start_soon(
                serve_app, app, host, PORT, trio.sleep_forever, bounds
            )
            entry = Entry(
                host, ctx.dispatcher, readiness, key_value, ctx.limits
            )
            async with entry.client() as client:
                await client.get('/healthz')
            yield entry
            nursery.cancel_scope.cancel()
