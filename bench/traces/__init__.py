"""bench.traces: seeded online arrivals with the bounds of their figures."""

from .arrivals import Arrival, Trace, bursty_trace, load_trace, steady_trace

__all__ = ('Arrival', 'Trace', 'bursty_trace', 'load_trace', 'steady_trace')
