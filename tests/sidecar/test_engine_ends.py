"""Engines that end under prompts with one message, behind sidecars."""

import contextlib
import itertools
import json
import random
import types

import attrs
import httpx
import pytest
import trio

from briarrill.batch.item_dispatcher import ItemDispatcher
from briarrill.batch.item_sources import ItemSources
from briarrill.coordination.admission import Admission
from briarrill.coordination.retries import RetryBudgets
from briarrill.coordination.routing import TwoChoicesPolicy
from briarrill.coordination.upstream_ends import observe_prompt_news
from briarrill.entry.dispatch import Dispatcher
from briarrill.entry.links import UpstreamLink
from briarrill.errors import (
    BriarrillError,
    PromptQuarantinedError,
    RequestQuarantinedError,
)
from briarrill.protocol.callers_api import prompt_parts
from briarrill.protocol.messages import BatchItem, Pull
from briarrill.protocol.request_keys import request_key
from briarrill.result_codes import Ran, ResultCode
from briarrill.sidecar.batch import BatchRunner
from briarrill.sidecar.upstreams import EngineUpstream
from briarrill.state.contracts import Contract
from briarrill.state.settings import InstanceSettings
from briarrill.transport.instance_list import Instance, Role
from tests.sidecar.sidecar_setup import (
    PORT,
    make_request,
    open_sidecar,
    wait_until,
)

ENGINE_PORT = 9102
DOWN_S = 0.2

WHOLE_STREAM = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n'
    b'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n'
)

ENDS = {
    'before the head': b'',
    'inside the answer': WHOLE_STREAM[:-20],
}


@attrs.define
class FragileEngine:
    """An engine that ends under the message ``bad``, then starts again.

    :param sent: bytes that are sent before the end.
    :param resets: whether connections are cut instead of the engine.
    """

    host: str
    sent: bytes = b''
    resets: bool = False
    reached: int = 0

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:

                async def serve(stream, scope=nursery.cancel_scope):
                    async with stream:
                        await self._serve(stream, scope)

                await trio.serve_tcp(serve, ENGINE_PORT, host=self.host)
            await trio.sleep(DOWN_S)

    async def _serve(self, stream, scope) -> None:
        """Answer one request."""
        request = b''
        while b'"stream"' not in request:
            part = await stream.receive_some()
            if not part:
                return
            request += part
        if b'"bad"' not in request:
            await stream.send_all(WHOLE_STREAM)
            return
        self.reached += 1
        await stream.send_all(self.sent)
        if not self.resets:
            scope.cancel()


def body_of(*contents):
    """Return a chat completion request with these messages."""
    messages = [{'role': 'user', 'content': text} for text in contents]
    return json.dumps(
        {'model': 'model', 'messages': messages, 'stream': True}
    ).encode()


async def _read_whole(response):
    """Read a response and return its bytes."""
    parts = []
    while (part := await response.next_chunk()) is not None:
        parts.append(part)
    return b''.join(parts)


class EngineFleet:
    """Sidecars with engines, and an entry that is linked to them."""

    def __init__(self, engines, setups):
        self.engines = engines
        self.setups = setups
        self.request_count = 0

    @property
    def reached(self):
        return sum(engine.reached for engine in self.engines)

    @contextlib.asynccontextmanager
    async def open_entry(self):
        """Run an entry's links and decisions; yield its dispatcher."""
        ends = observe_prompt_news()
        links = [
            UpstreamLink(
                Instance(
                    f'upstream-{number}',
                    setup.host,
                    'a',
                    'r',
                    (Role.UPSTREAM,),
                    'pool',
                ),
                PORT,
                InstanceSettings('entry-0', '127.0.0.1', 'a', 'r'),
                ends.receive_news,
            )
            for number, setup in enumerate(self.setups)
        ]
        rng = random.Random(1)
        dispatcher = Dispatcher(
            types.SimpleNamespace(
                serving=lambda _: [one for one in links if one.is_usable]
            ),
            TwoChoicesPolicy(rng),
            RetryBudgets(),
            rng,
            ends.quarantine,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ends.run)
            for link in links:
                nursery.start_soon(link.run)
            await wait_until(lambda: all(link.is_usable for link in links))
            yield dispatcher
            nursery.cancel_scope.cancel()

    async def ask(self, dispatcher, *contents):
        """Send a prompt; return the error, or none."""
        self.request_count += 1
        body = body_of(*contents, f'own {self.request_count}')
        req = attrs.evolve(
            make_request(f'r{self.request_count}'),
            body=body,
            prompt_parts=prompt_parts(body),
        )
        try:
            response = await dispatcher.dispatch(req)
            await _read_whole(response)
        except BriarrillError as exc:
            return exc
        return None

    async def ask_until_refused(self, dispatcher, *contents):
        """Send prompts until one is refused at its first attempt.

        A retry may be refused before; its first attempt may have run.
        """
        with trio.fail_after(30):
            while True:
                error = await self.ask(dispatcher, *contents)
                is_refused = isinstance(error, PromptQuarantinedError)
                if is_refused and error.ran is Ran.NO:
                    return error
                await trio.sleep(0.1)


@contextlib.asynccontextmanager
async def open_fleet(network, **options):
    """Run four engines, each with its sidecar."""
    engines = [
        FragileEngine(f'{network}.{number}', **options)
        for number in range(50, 54)
    ]
    async with contextlib.AsyncExitStack() as stack:
        nursery = await stack.enter_async_context(trio.open_nursery())
        setups = []
        for number, engine in enumerate(engines):
            nursery.start_soon(engine.run)
            client = await stack.enter_async_context(
                httpx.AsyncClient(
                    base_url=f'http://{engine.host}:{ENGINE_PORT}',
                    timeout=None,
                )
            )
            setups.append(
                await stack.enter_async_context(
                    open_sidecar(
                        f'{network}.{number + 1}',
                        EngineUpstream(client),
                        name=f'upstream-{number}',
                    )
                )
            )
        yield EngineFleet(engines, setups)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('end', ENDS)
async def test_message_that_ends_engines_is_refused_by_all_entries(
    network, end
):
    async with (
        open_fleet(network, sent=ENDS[end]) as fleet,
        fleet.open_entry() as first,
        fleet.open_entry() as second,
    ):
        error = await fleet.ask_until_refused(first, 'system', 'bad')
        assert (error.ran, error.code) == (
            Ran.NO,
            ResultCode.PROMPT_QUARANTINED,
        )
        assert error.retry_after_s > 1
        assert await fleet.ask(first, 'system', 'sound') is None
        await fleet.ask_until_refused(second, 'system', 'bad')
        async with fleet.open_entry() as restarted:
            await fleet.ask_until_refused(restarted, 'bad')
            reached = fleet.reached
            for dispatcher in (first, second, restarted):
                for _ in range(5):
                    await fleet.ask(dispatcher, 'other', 'bad')
            assert fleet.reached == reached
            assert await fleet.ask(restarted, 'system', 'sound') is None


async def test_request_that_ends_engines_is_refused_but_its_parts_are_not(
    network,
):
    async with (
        open_fleet(network) as fleet,
        fleet.open_entry() as first,
        fleet.open_entry() as second,
    ):
        # the message at fault is the request's own, no shared one
        body = body_of('system', 'shared', 'bad')
        req = attrs.evolve(
            make_request('fatal', idempotent=False),
            body=body,
            prompt_parts=prompt_parts(body),
            request_key=request_key('kinship', b'POST', b'/', body),
        )
        for number in itertools.count():
            reached = fleet.reached
            with pytest.raises(BriarrillError) as raised:
                again = attrs.evolve(req, request_id=f'fatal-{number}')
                await first.dispatch(again)
            if isinstance(raised.value, RequestQuarantinedError):
                break
            await trio.sleep(0.1)
        assert raised.value.ran is Ran.NO
        assert fleet.reached == reached
        await wait_until(
            lambda: second._quarantine.requests.hold(req.request_key)
        )
        async with fleet.open_entry() as restarted:
            await wait_until(
                lambda: restarted._quarantine.requests.hold(req.request_key)
            )
            for dispatcher in (first, second, restarted):
                with pytest.raises(RequestQuarantinedError):
                    await dispatcher.dispatch(req)
                error = await fleet.ask(dispatcher, 'system', 'shared')
                assert error is None
        assert fleet.reached == reached


async def test_connections_cut_by_live_engines_accuse_no_message(network):
    async with (
        open_fleet(network, resets=True) as fleet,
        fleet.open_entry() as entry,
    ):
        for _ in range(10):
            error = await fleet.ask(entry, 'system', 'bad')
            assert not isinstance(error, PromptQuarantinedError)
        await trio.sleep(2)
        error = await fleet.ask(entry, 'system', 'bad')
        assert not isinstance(error, PromptQuarantinedError)
        assert all(setup.server.ends.news is None for setup in fleet.setups)


def _item(index, *contents):
    return BatchItem(
        job='job',
        index=index,
        epoch=1,
        contract='c',
        model='model',
        url='/v1/chat/completions',
        body=body_of(*contents),
    )


class _Source:
    """A job with items in a queue."""

    job = 'job'
    contract = 'c'
    due_at = 0

    def __init__(self, *batch_items):
        self.waiting = list(batch_items)
        self.outcomes = []

    def next_item(self, models, sidecar):
        return self.waiting.pop(0) if self.waiting else None

    def record_outcome(self, outcome, sidecar):
        self.outcomes.append(outcome)


async def test_item_with_a_message_that_ends_engines_is_not_assigned(network):
    """The sidecars that ran items before tell the batch process."""
    sources = ItemSources(lambda _name: Contract(()))
    sent = []
    ends = observe_prompt_news()
    dispatcher = ItemDispatcher(
        types.SimpleNamespace(send=sent.append), sources, ends
    )
    async with (
        open_fleet(network) as fleet,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(ends.run)
        for number, setup in enumerate(fleet.setups):
            runner = BatchRunner(
                setup.upstream, Admission(2, 2), setup.server.ends
            )
            outcome = await runner.run_item(_item(number, 's', 'bad', 'own'))
            assert outcome.code is ResultCode.UPSTREAM_FAILED
            await wait_until(lambda one=setup: one.server.ends.news)
        for number, setup in enumerate(fleet.setups):
            pull = Pull('s', f'upstream-{number}', 0, ('model',))
            dispatcher._handle_pull(
                b'%d' % number,
                attrs.evolve(pull, prompt_news=setup.server.ends.news),
            )
        bad = _item(9, 's', 'bad', 'own')
        await wait_until(
            lambda: ends.quarantine.time_left_s(prompt_parts(bad.body))
        )
        source = _Source(bad, _item(10, 's', 'sound', 'own'))
        sources.add(source)
        dispatcher._handle_pull(b'0', Pull('s', 'upstream-0', 2, ('model',)))
        assert [outcome.code for outcome in source.outcomes] == [
            ResultCode.PROMPT_QUARANTINED
        ]
        puller = dispatcher._pullers['upstream-0']
        assert list(puller.outstanding) == [('job', 10)]
        nursery.cancel_scope.cancel()


def test_prompt_parts_are_all_messages_but_the_last():
    parts = prompt_parts(body_of('system', 'shared', 'own'))
    assert parts == prompt_parts(body_of('system', 'shared', 'other'))
    assert len(set(parts)) == 2
    assert prompt_parts(body_of('system', 'x', 'own'))[0] == parts[0]
    assert prompt_parts(body_of('own')) == ()
    assert prompt_parts(b'{"prompt": "text"}') == ()
    assert prompt_parts(b'{"messages": 7}') == ()
    assert prompt_parts(b'no json') == ()
    assert len(prompt_parts(body_of(*map(str, range(99))))) == 16
