"""briarrill.item_runs: runs batch items in slots free of online requests."""
