"""briarrill.entry: the callers' HTTP interface."""
