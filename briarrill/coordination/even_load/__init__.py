"""briarrill.coordination.even_load: spread requests though loads are old."""
