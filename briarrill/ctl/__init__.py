"""briarrill.ctl: command line of the operators."""
