"""The edge node's own modules: configuration, clients of the counter and of discovery, operators' calls, and log.

The edge node enforces customers' quotas in front of a fleet of app servers. The code that it shares with the system's
nodes is in `net/`, its decisions are in `choice.py`. It runs as one process on one event loop; times are nanoseconds of
one clock.

Suggested reading order:

1. `node` builds and connects the parts, handles signals and shuts the process down. `node_context` holds what every
   part may need, `optional_parts` builds the parts that only some nodes have.
2. `configuration` reads and checks a node's configuration. `configuration_checks` has the kinds of values and the
   error that names a key, `settings_checks` the schema of the platform's settings, `optional_settings` the tables of
   the optional parts.
3. The counter: `resp` implements its protocol, `counter_connection` one connection, `counter_client` the timeouts and
   the decision which calls may have been applied when a connection breaks.
4. Discovery: `server_list` parses its lists, `discovery_connection` is one connection, `discovery_client` reconnects.
5. `admin` serves the operators' calls, `log` writes the log and keeps the counters.

`resp`, `server_list` and the modules that check the configuration do no I/O.
"""
