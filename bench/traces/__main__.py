"""bench.traces: regenerate the trace files (``python -m bench.traces``)."""

from .arrivals import Bursts, bursty_trace, steady_trace

SEED = 20240611


def main() -> None:
    """Write all traces with the bounds that their figures must meet."""
    bursty_trace(
        'online-bursts',
        SEED,
        per_second=20,
        seconds=20,
        bursts=Bursts(size=30, every_s=4),
        outcomes={
            'harm_p99_first_token': 1.1,
            'batch_kept': 0.9,
            'yield_ms': 50,
        },
    ).write()
    steady_trace(
        'online-capacity',
        SEED + 1,
        per_second=36,
        seconds=20,
        outcomes={},
    ).write()
    steady_trace(
        'online-overload',
        SEED + 2,
        per_second=72,
        seconds=20,
        outcomes={'goodput_of_capacity': 0.95},
    ).write()


if __name__ == '__main__':
    main()
