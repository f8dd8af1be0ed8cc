"""bench: benchmarks, one command each (``python -m bench.NAME``)."""
