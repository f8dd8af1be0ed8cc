"""standins: stand-ins for platform services and upstreams (demo, tests)."""
