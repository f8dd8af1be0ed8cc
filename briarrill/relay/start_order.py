"""briarrill.relay.start_order: holds requests while slots are short.

It acts only where customers are configured. The decisions are those of
:mod:`briarrill.coordination.competition`; this module waits and wakes.
"""

import contextlib
import random
import time
from collections.abc import Callable, Iterator

import trio
from eliot import log_message

from ..coordination.competition.competition import (
    HOLD_OBJECTIVES,
    Competition,
    Room,
    Ruling,
)
from ..coordination.competition.recent_work import request_cost
from ..coordination.competition.start_queue import Ticket
from ..coordination.competition.weights import ShareWeights
from ..coordination.customers.customer import CustomerDirectory
from ..coordination.load_exchange import LoadExchange
from ..coordination.placement import UpstreamCandidate
from ..coordination.relay_protocol import Call
from ..coordination.routes import RouteTable
from ..coordination.service_times import ServiceTimeTable
from ..errors import OverloadedError
from ..metrics import START_RULINGS, WAITING_REQUESTS
from ..protocol.demand_news import DemandNews, ServiceDemand
from ..protocol.load_reports import LoadReport

__all__ = ('StartOrder',)

RELEASED = 'RELEASED'


class StartOrder:
    """Orders requests by rank and share before an upstream is chosen.

    :param candidates_of: returns the upstreams of a service that may get
        requests, with their loads.
    :ivar routes: returns the routes in force, by default none.
    """

    def __init__(
        self,
        candidates_of: Callable[[str], list[UpstreamCandidate]],
        load: LoadExchange,
        service_times: ServiceTimeTable,
        rng: random.Random,
    ) -> None:
        """Start without requests."""
        self.routes: Callable[[], RouteTable | None] = _no_routes
        self._candidates_of = candidates_of
        self._load = load
        self._service_times = service_times
        self._rng = rng
        self._weights = ShareWeights(CustomerDirectory())
        self._competitions: dict[str, Competition] = {}
        self._released: dict[Ticket, trio.Event] = {}
        load.make_demand_news = self._make_news
        load.peers.on_report.append(self._receive_report)

    def applies_to(self, call: Call) -> bool:
        """Tell whether a request competes; one that resumes does not."""
        routes = self.routes()
        if routes is None or not routes.customers.asks_for_keys:
            return False
        if self._weights.customers is not routes.customers:
            self._weights = ShareWeights(routes.customers)
        return call.last_event_id is None

    async def admit(self, call: Call) -> None:
        """Return when a request may be sent.

        :raises OverloadedError: it is refused.
        """
        competition = self._competition(call.service)
        room = self._room(call.service)
        now = time.monotonic()
        ticket = self._make_ticket(call)
        hold_s = min(
            HOLD_OBJECTIVES * call.route.latency_objective_s,
            call.deadline_s - now,
        )
        ruling = competition.arrive(ticket, room, hold_s, now)
        if ruling is Ruling.WAIT:
            ruling = await self._hold(call, ticket, hold_s)
        if ruling is Ruling.REFUSE:
            raise self._refusal(call, ticket)

    def release(self) -> None:
        """Let held requests go on for which slots are free."""
        if not self._released:
            return
        now = time.monotonic()
        for service, competition in self._competitions.items():
            if len(competition.queue):
                released = competition.release(self._room(service), now)
                for ticket in released:
                    self._released[ticket].set()

    async def _hold(self, call: Call, ticket: Ticket, hold_s: float) -> Ruling:
        """Hold a request until a slot is free, or for its time.

        One whose caller leaves is no longer in the queue.
        """
        competition = self._competitions[call.service]
        START_RULINGS.labels(Ruling.WAIT.name).inc()
        with self._waiting(competition, ticket) as released:
            self.release()
            with trio.move_on_after(hold_s):
                await released.wait()
            if released.is_set():
                START_RULINGS.labels(RELEASED).inc()
                return Ruling.SEND
            now = time.monotonic()
            ruling = competition.expire(
                ticket, self._room(call.service), call.deadline_s - now, now
            )
        if ruling is Ruling.SEND:
            START_RULINGS.labels(ruling.name).inc()
        return ruling

    @contextlib.contextmanager
    def _waiting(
        self, competition: Competition, ticket: Ticket
    ) -> Iterator[trio.Event]:
        """Yield what is set when a held request is released."""
        released = trio.Event()
        self._released[ticket] = released
        try:
            with WAITING_REQUESTS.labels(
                ticket.claimant[0]
            ).track_inprogress():
                yield released
        finally:
            self._released.pop(ticket)
            competition.leave(ticket)

    def _refusal(self, call: Call, ticket: Ticket) -> OverloadedError:
        """Log a refusal; return the error for the caller."""
        competition = self._competitions[call.service]
        now = time.monotonic()
        room = self._room(call.service)
        retry_after_s = competition.book_return(
            ticket, room, call.deadline_s - now, now
        )
        START_RULINGS.labels(Ruling.REFUSE.name).inc()
        rank, customer = ticket.claimant
        log_message(
            'request:over-share',
            request_id=call.request_id,
            service=call.service,
            customer=customer,
            rank=rank,
            cost=ticket.cost,
            recent=round(competition.amount(ticket.claimant, now)),
            share=round(competition.share(ticket)),
            slots=room.slots,
            online=room.online,
            waiting=len(competition.queue),
        )
        return OverloadedError(
            'all slots are taken and the customer has had its share',
            retry_after_s=retry_after_s,
        )

    def _make_ticket(self, call: Call) -> Ticket:
        customer = call.customer
        return Ticket(
            (customer.rank(call.route.priority), customer.name),
            request_cost(call.work),
            self._weights.of(customer.name),
            call.request_key,
        )

    def _competition(self, service: str) -> Competition:
        """Return the competition for a service, created on first use."""
        if service not in self._competitions:
            self._competitions[service] = Competition(
                lambda name: self._weights.of(name),
                lambda: self._peer_demands(service),
                self._rng,
            )
        return self._competitions[service]

    def _room(self, service: str) -> Room:
        return Room.at(
            self._candidates_of(service),
            self._service_times.of(service).mean_s,
        )

    def _peer_demands(self, service: str) -> list[ServiceDemand]:
        """Return what the live peers report of a service."""
        return [
            report.demand_news.services[service]
            for report in self._load.live_reports.values()
            if report.demand_news and service in report.demand_news.services
        ]

    def _make_news(self) -> DemandNews | None:
        """Return the demand for the services whose slots are short."""
        now = time.monotonic()
        news = {
            service: demand
            for service, competition in self._competitions.items()
            if (demand := competition.news(now)) is not None
        }
        return DemandNews(news) if news else None

    def _receive_report(self, report: LoadReport) -> None:
        self.release()


def _no_routes() -> None:
    """Return that no routes are in force."""
