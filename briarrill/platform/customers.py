"""briarrill.platform.customers: customers and capacities as configured."""

import re
from collections.abc import Iterable, Mapping
from typing import Annotated

import attrs
import msgspec

from ..coordination.capacity.work import UpstreamCapacity
from ..coordination.customers.customer import Customer, CustomerDirectory
from ..state.api_keys import hash_api_key
from .numbers import Count, Number

__all__ = (
    'ServiceFields',
    'TenantFields',
    'read_capacities',
    'read_customers',
)

# a name is sent in a header
_NAME_PATTERN = re.compile('[!-~]+')

_ApiKey = Annotated[str, msgspec.Meta(min_length=1)]


@attrs.frozen
class TenantFields:
    """A customer in the operator's JSON.

    :param rate_per_s: limit of its requests, 0 for none.
    """

    name: str
    api_keys: tuple[_ApiKey, ...] = ()
    priority: int | None = None
    rate_per_s: Number = 0
    burst: Number = 0


@attrs.frozen
class _Engine:
    slots: Count = 0
    kv_capacity_tokens: Count = 0


@attrs.frozen
class ServiceFields:
    """A service in the operator's JSON."""

    name: str
    engine: _Engine | None = None


def read_customers(tenants: Iterable[TenantFields]) -> CustomerDirectory:
    """Return the configured customers.

    :raises ValueError: a name cannot be sent in a header, or two customers
        have the same name or key; the message names the customer.
    """
    return CustomerDirectory(map(_customer, tenants))


def read_capacities(
    services: Iterable[ServiceFields],
) -> Mapping[str, UpstreamCapacity]:
    """Return the capacity of the upstreams of each service that has one."""
    return {
        service.name: UpstreamCapacity(
            slots=service.engine.slots,
            tokens=service.engine.kv_capacity_tokens,
        )
        for service in services
        if service.engine is not None
    }


def _customer(wire: TenantFields) -> Customer:
    if _NAME_PATTERN.fullmatch(wire.name) is None:
        raise ValueError(f'customer {wire.name!r} cannot be named in a header')
    return Customer(
        name=wire.name,
        api_key_sha256=tuple(map(hash_api_key, wire.api_keys)),
        priority=wire.priority,
        requests_per_second=wire.rate_per_s,
        burst=wire.burst,
    )
