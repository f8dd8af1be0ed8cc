"""bench.batch_choice: items in time by the order in which they get slots.

Prints, for each load and order, the items finished when due and the jobs
whose items all were, summed over seeds.
"""

from .batch_model import ORDERS, Load, make_jobs, replay_jobs

SEEDS = range(4)

#: Name to load; ``twice`` offers twice the work that fits.
LOADS = {
    'fits': Load(jobs_per_s=0.5, slots=49, online=(6, 16)),
    'twice': Load(jobs_per_s=1.7, slots=49, online=(6, 16)),
    'thrice': Load(jobs_per_s=2.6, slots=49, online=(6, 16)),
}


def main() -> None:
    """Print the figures of all loads and orders."""
    for load_name, load in LOADS.items():
        for order_name, order in ORDERS.items():
            counts = [
                replay_jobs(load, make_jobs(load, seed), order)
                for seed in SEEDS
            ]
            asked = sum(
                len(job.items)
                for seed in SEEDS
                for job in make_jobs(load, seed)
            )
            slot_s, items, jobs = map(sum, zip(*counts, strict=True))
            print(
                f'{load_name}, {order_name}: {items} of {asked} items in'
                f' time, {slot_s:.0f} s of slots, {jobs} whole jobs'
            )


if __name__ == '__main__':
    main()
