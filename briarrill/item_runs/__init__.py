"""briarrill.item_runs: items of stored jobs, run in the slots left over."""
