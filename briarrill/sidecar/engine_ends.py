"""briarrill.sidecar.engine_ends: find ends of the sidecar's model engine.

The sidecar is the only way to its engine, so it observes all of the engine's
requests. Entries and batch processes hear of crashes from it and decide.
"""

import contextlib
from collections.abc import Iterator

import httpx

from ..coordination.prompt_crashes import QUARANTINE_S, PromptQuarantine
from ..coordination.upstream_ends import PromptRun, UpstreamEnds
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..protocol.callers_api import prompt_parts
from ..protocol.prompt_news import PromptNews

__all__ = ('EngineEnds',)

# errors of a request that was sent
_LOST_ERRORS = (
    httpx.CloseError,
    httpx.ReadError,
    httpx.ReadTimeout,
    httpx.RemoteProtocolError,
    httpx.WriteError,
)

_HTTP_PORT = 80


class EngineEnds:
    """Observes the requests at one engine.

    Crashes stay in the news for as long as they count, so that an entry that
    has started again hears of all of them.

    :param name: instance name of the sidecar.
    :param url: the engine's base URL.
    """

    def __init__(self, name: str, url: httpx.URL) -> None:
        """Start with the first incarnation of the engine."""
        self._name = name
        self._address = (url.host, url.port or _HTTP_PORT)
        self._incarnations = 0
        self._table = UpstreamTable(lambda: True)
        self._upstream = self._register_next()
        self._ends = UpstreamEnds(
            self._table,
            PromptQuarantine(report_s=QUARANTINE_S),
            self._replace_crashed,
            _LOST_ERRORS,
        )

    @property
    def news(self) -> PromptNews | None:
        """Return what entries and batch processes are told, if anything."""
        return self._ends.quarantine.news()

    @contextlib.contextmanager
    def track(self, request_body: bytes, key: int = 0) -> Iterator[PromptRun]:
        """Observe one request at the engine.

        :param key: key of the request, 0 for an item.
        """
        with self._ends.track(
            self._upstream, prompt_parts(request_body), key
        ) as run:
            yield run

    async def run(self) -> None:
        """Check the engine after broken responses until cancelled."""
        await self._ends.run()

    def _replace_crashed(self) -> None:
        """Have later requests belong to the next incarnation."""
        if self._ends.quarantine.has_crashed(self._upstream.incarnation):
            self._upstream = self._register_next()

    def _register_next(self) -> RegisteredUpstream:
        self._incarnations += 1
        upstream = RegisteredUpstream(
            upstream_id=self._name,
            service='',
            address=self._address,
            failure_domain='',
            slots=0,
            incarnation=f'{self._name}/{self._incarnations}',
        )
        self._table.register(upstream)
        return upstream
