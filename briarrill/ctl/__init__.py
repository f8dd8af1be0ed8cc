"""briarrill.ctl: the operators' command line."""
