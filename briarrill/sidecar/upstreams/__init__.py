"""briarrill.sidecar.upstreams: classes of upstreams by their kind."""

from .base import Upstream, UpstreamRequest, UpstreamResponse
from .engine import EngineUpstream
from .service import ServiceUpstream

__all__ = ('UPSTREAMS', 'Upstream', 'UpstreamRequest', 'UpstreamResponse')

UPSTREAMS: dict[str, type[Upstream]] = {
    cls.kind: cls for cls in (EngineUpstream, ServiceUpstream)
}
