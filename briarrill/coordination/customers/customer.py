"""briarrill.coordination.customers.customer: customers and their API keys."""

from collections.abc import Iterable, Mapping, Set

import attrs

from ...errors import UnauthenticatedError
from ...state.api_keys import hash_api_key

__all__ = ('ANONYMOUS', 'Customer', 'CustomerDirectory')


@attrs.frozen
class Customer:
    """A workspace, and the terms of its contract for requests.

    :param name: unique name, empty if the request came without a key.
    :param api_key_sha256: hashes of its API keys.
    :param priority: rank of its requests, 0 the highest; none if that of
        their route applies.
    :param requests_per_second: rate limit over all instances, 0 for none.
    :param burst: requests beside the rate that may follow each other at once.
    """

    name: str
    api_key_sha256: tuple[str, ...] = ()
    priority: int | None = None
    requests_per_second: float = 0
    burst: float = 0

    @property
    def is_limited(self) -> bool:
        """Whether the contract limits the rate of requests."""
        return self.requests_per_second > 0

    def rank(self, route_priority: int) -> int:
        """Return the rank of a request on a route with a priority."""
        return route_priority if self.priority is None else self.priority


#: Who sends a request without a key, where no key is asked for.
ANONYMOUS = Customer('')


class CustomerDirectory:
    """The customers of one version of the configuration.

    Without customers no key is asked for.
    """

    def __init__(self, customers: Iterable[Customer] = ()) -> None:
        """Index the customers by name and by the hash of their keys.

        :raises ValueError: two customers have the same name or key.
        """
        self._by_name: dict[str, Customer] = {}
        self._by_digest: dict[str, Customer] = {}
        for customer in customers:
            self._add(customer)

    @property
    def by_name(self) -> Mapping[str, Customer]:
        """Return the customers by name."""
        return self._by_name

    @property
    def key_hashes(self) -> Set[str]:
        """Return the hashes of all API keys."""
        return self._by_digest.keys()

    @property
    def asks_for_keys(self) -> bool:
        """Whether requests carry keys."""
        return bool(self._by_name)

    def find(self, api_key: str) -> Customer | None:
        """Return the customer of a key, none if the key is unknown."""
        return self._by_digest.get(hash_api_key(api_key))

    def authenticate(
        self, api_key: str | None, *, allows_anonymous: bool = False
    ) -> Customer:
        """Return the customer of a request's key.

        :param api_key: the key, none if the request has none.
        :param allows_anonymous: whether the route asks for no key.
        :raises UnauthenticatedError: the key is missing or unknown.
        """
        customer = None if api_key is None else self.find(api_key)
        if customer is not None:
            return customer
        if allows_anonymous or not self.asks_for_keys:
            return ANONYMOUS
        raise UnauthenticatedError(
            'the API key is missing'
            if api_key is None
            else 'no customer has this API key'
        )

    def _add(self, customer: Customer) -> None:
        if customer.name in self._by_name:
            raise ValueError(f'customer {customer.name!r} is listed twice')
        self._by_name[customer.name] = customer
        for digest in customer.api_key_sha256:
            if self._by_digest.setdefault(digest, customer) is not customer:
                raise ValueError(
                    f'customers {self._by_digest[digest].name!r} and'
                    f' {customer.name!r} have the same API key'
                )
