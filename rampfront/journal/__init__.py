"""A crash-safe journal of once-only txns. `rules` and `records` do no I/O; `store` owns the files, `keeper` joins them
to the node, `reader` answers the command line."""
