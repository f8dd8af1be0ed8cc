"""bench.placement: waits at online peaks by the way to choose an upstream.

Prints, for each fleet and way, the share of requests that wait longer than
``LATE_S`` for a slot, over seeds.
"""

from .placement_model import PLACEMENTS, Fleet, replay_peaks

SEEDS = range(3)

# two thirds of the latency objective of a first event
LATE_S = 0.2

#: Name to fleet; ``rates`` fill about nine tenths of the slots in peaks.
FLEETS = {
    '5 entries': Fleet(5, 9, 8, 0.1, (45, 95)),
    '24 entries': Fleet(24, 27, 7, 0.15, (110, 240)),
    '58 entries': Fleet(58, 30, 7, 0.3, (130, 270)),
}


def late_share(fleet: Fleet, placement: str) -> float:
    """Return the share of requests that wait longer than ``LATE_S``."""
    waits = [
        wait_s
        for seed in SEEDS
        for wait_s in replay_peaks(fleet, PLACEMENTS[placement], seed)
    ]
    return sum(wait_s > LATE_S for wait_s in waits) / len(waits)


def main() -> None:
    """Print the figures of all fleets and ways."""
    for fleet_name, fleet in FLEETS.items():
        for placement in PLACEMENTS:
            share = late_share(fleet, placement)
            print(f'{fleet_name}, {placement}: {share:.3f} wait too long')


if __name__ == '__main__':
    main()
