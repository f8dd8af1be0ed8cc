"""briarrill.protocol.demand_news: recent work of customers at a process."""

import attrs

from .numbers import Count, NonNegativeNumber

__all__ = ('CustomerWork', 'DemandNews', 'ServiceDemand')


@attrs.frozen
class CustomerWork:
    """Recent work that a process has sent for a customer.

    :param rank: of the requests, 0 the highest.
    :param tokens: weighted tokens, decayed.
    """

    rank: Count
    customer: str
    tokens: NonNegativeNumber


@attrs.frozen
class ServiceDemand:
    """Demand for a service whose slots are short.

    :param busiest: the customers with the most recent work.
    :param others: recent work of all other customers by rank.
    :param waiting: requests that the process holds.
    """

    busiest: tuple[CustomerWork, ...] = ()
    others: dict[int, NonNegativeNumber] = attrs.field(factory=dict)
    waiting: Count = 0


@attrs.frozen
class DemandNews:
    """Demand for the services whose slots are short, by service."""

    services: dict[str, ServiceDemand] = attrs.field(factory=dict)
