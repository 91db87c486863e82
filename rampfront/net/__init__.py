"""The edge node on sockets, one job a file; it decides nothing."""
