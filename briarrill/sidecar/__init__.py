"""briarrill.sidecar: the proxy process in front of each upstream."""
