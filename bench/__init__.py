"""bench: one command for each figure."""
