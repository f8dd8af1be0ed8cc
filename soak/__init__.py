"""soak: runs the real processes under drawn faults and checks the results."""
