"""bench.traces: seeded online arrivals and the outcomes asked of them."""

from .arrivals import Arrival, Trace, bursty_trace, load_trace, steady_trace

__all__ = ('Arrival', 'Trace', 'bursty_trace', 'load_trace', 'steady_trace')
