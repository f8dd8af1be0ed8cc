"""briarrill.sidecar: the process beside each upstream."""
