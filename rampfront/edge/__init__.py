"""The edge node's own: its configuration, its clients of the counter and discovery, the operators' calls, its log.

The edge node holds customers to quotas before a fleet of app servers. What it shares with the system is in `net/`, its
decisions are in `choice.py`. One process runs it, on one event loop; times are nanoseconds of one clock.

To read, in this order:

1. `node` makes the parts and joins them, and has the signals and the end of the process. `node_context`
   is what all parts may need, `optional_parts` makes those that only some nodes have.
2. `configuration` is what a node is started with. `configuration_checks` has the kinds of values and the error that
   names a key, `settings_checks` what the platform's settings must hold, `optional_settings` the tables of the
   optional parts.
3. The counter. `resp` is its protocol, `counter_connection` one connection, `counter_client` the timeouts and what
   may have been added when a connection breaks.
4. Discovery. `server_list` reads its lists, `discovery_connection` is one connection, `discovery_client` connects
   again.
5. `admin` has the operators' calls, `log` the log and the counters.

`resp`, `server_list` and the modules of the configuration's checks do no I/O.
"""
