"""briarrill.coordination.recent_versions: versions that served lately.

They are those of registered upstreams, those that this process saw leave, and
those that are recorded. A version that begins streams before it is recorded
may leave and be known to nobody, so it waits for its record: as long as a
recorded version accepts streams, else for a short time.
"""

import itertools
from collections.abc import Sequence

from .upstream_table import RegisteredUpstream, UpstreamTable
from .version_records import ServedVersion

__all__ = ('exclude_held', 'find_recent_versions', 'update_records')


def find_recent_versions(upstreams: UpstreamTable, service: str) -> set[str]:
    """Return the versions at which upstreams serve or served lately."""
    # reading the upstreams may record that the last one of a version left
    registered = {
        upstream.version
        for upstream in upstreams.registered_upstreams
        if upstream.service == service
    }
    left = {
        served.version
        for served in upstreams.versions.left_lately
        if served.service == service
    }
    return registered | left | upstreams.records.served_lately(service)


def exclude_held(
    upstreams: UpstreamTable, candidates: Sequence[RegisteredUpstream]
) -> list[RegisteredUpstream]:
    """Return the upstreams that may begin streams now.

    Those of recorded versions if there are any, for as long as the others
    have no record: nothing that outlives the processes would tell them apart.
    Without them, upstreams of a version that has no record begin streams
    beside a record of an earlier version: the two are told apart.
    """
    records = upstreams.records
    # many upstreams share few versions
    names = {(one.service, one.version) for one in candidates}
    unrecorded = {
        served
        for served in names
        if records.lacks_record(ServedVersion(*served))
    }
    recorded = _without(candidates, unrecorded)
    if recorded:
        return recorded
    held = {
        served
        for served in unrecorded
        if records.is_held(ServedVersion(*served))
    }
    return _without(candidates, held) or [
        one for one in candidates if records.has_any(one.service)
    ]


def update_records(upstreams: UpstreamTable) -> None:
    """Compare the records of versions with the upstreams."""
    names = {
        (upstream.service, upstream.version)
        for upstream in upstreams.registered_upstreams
    }
    registered = set(itertools.starmap(ServedVersion, names))
    seen_lately = registered | upstreams.versions.left_lately
    upstreams.records.update(registered, seen_lately)


def _without(
    candidates: Sequence[RegisteredUpstream], names: set[tuple[str, str]]
) -> list[RegisteredUpstream]:
    """Return the upstreams whose service and version are not named."""
    return [
        one for one in candidates if (one.service, one.version) not in names
    ]
