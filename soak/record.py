"""soak.record: what callers and runners of a round have seen."""

from collections.abc import Sequence

import attrs

from .plan import Work

__all__ = ('Item', 'Job', 'Page', 'Record', 'Sample', 'event_text')


@attrs.frozen
class Item:
    """An item of a job, and the events that a runner makes of it."""

    item_id: str
    work: Work

    @property
    def output(self) -> str:
        """The whole output: the data of all events."""
        return '\n'.join(
            event_text(self.item_id, number)
            for number in range(1, self.work.events + 1)
        )


def event_text(request_id: str, number: int) -> str:
    """Return the data of an event of a request."""
    return f'{request_id}.{number}'


@attrs.frozen
class Job:
    """A job that was accepted at a time of the round."""

    job_id: str
    route: str
    accepted_s: float
    items: tuple[Item, ...]


@attrs.frozen
class Page:
    """A page of results that an entry sent."""

    job_id: str
    at_s: float
    position: int
    total: int
    results: tuple[tuple[str, str, str], ...]


@attrs.frozen
class Sample:
    """The state at a moment.

    :param is_calm: whether all was sound for long enough.
    :param is_read: whether an entry sent a page a moment ago.
    :param busy: share of the runners' slots that are taken.
    :param worked_on: jobs of which a runner has an unlisted item.
    :param unlisted: job to its owed items that are not listed.
    """

    at_s: float
    is_calm: bool
    is_read: bool
    busy: float
    worked_on: frozenset[str]
    unlisted: dict[str, tuple[str, ...]]


@attrs.define
class Record:
    """All that was seen in a round.

    :param route_ends: route to the times at which it was removed.
    :param odd_ends: processes that ended without being told.
    :param odd_streams: online requests with a success that is not whole.
    :param customers: request or item to its customer.
    :param odd_customers: requests that came to a runner with a key or with
        another name than that of their customer.
    :param odd_accesses: what a caller was let do that it may not.
    :param odd_routes: paths at a service to which no route ever led them.
    """

    jobs: dict[str, Job] = attrs.field(factory=dict)
    pages: list[Page] = attrs.field(factory=list)
    samples: list[Sample] = attrs.field(factory=list)
    route_ends: dict[str, list[float]] = attrs.field(factory=dict)
    odd_ends: list[str] = attrs.field(factory=list)
    odd_streams: list[str] = attrs.field(factory=list)
    customers: dict[str, str] = attrs.field(factory=dict)
    odd_customers: list[str] = attrs.field(factory=list)
    odd_accesses: list[str] = attrs.field(factory=list)
    odd_routes: list[str] = attrs.field(factory=list)
    listed: dict[str, set[str]] = attrs.field(factory=dict)

    def add_page(self, page: Page) -> None:
        """Add a page of results."""
        if page.results:
            self.pages.append(page)
        names = self.listed.setdefault(page.job_id, set())
        names.update(item_id for item_id, _, _ in page.results)

    def check_customer(
        self,
        request_id: str,
        names: Sequence[bytes],
        credentials: Sequence[bytes],
    ) -> None:
        """Check what a runner was told of a request's customer."""
        customer = self.customers.get(request_id, '')
        expected = [customer.encode()] if customer else []
        if list(names) != expected or credentials:
            self.odd_customers.append(
                f'{request_id} of {customer!r}: {names}, {credentials}'
            )

    def unlisted(self) -> dict[str, tuple[str, ...]]:
        """Return the items of accepted jobs that no page has listed."""
        found: dict[str, tuple[str, ...]] = {}
        for job in self.jobs.values():
            listed = self.listed.get(job.job_id, set())
            missing = tuple(
                item.item_id
                for item in job.items
                if item.item_id not in listed
            )
            if missing:
                found[job.job_id] = missing
        return found
