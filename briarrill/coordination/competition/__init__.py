"""Order of customers that compete for too few slots of upstreams."""
