"""briarrill.state: settings, contracts, segments and job records."""
