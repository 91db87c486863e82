"""What every node knows of the fleet, and how it learns: the core's state, the other nodes, servers and their health.

Nothing here does I/O, apart from `Poller`; times are ns of the own steady clock, unless a name says otherwise.

To read, in this order:

1. `versions` - how nodes compare what they hold;
2. `messages` - the four kinds of frames, their fields and their keys on the wire;
3. `dissemination` - how every node is kept up to date, with its parts: `heartbeats`, `responder` and `transfer_budget`,
   `leadership`, `peers`, `roster_builder`, `roster`; `dissemination_host` is what it needs of the process;
4. `deltas` - differences between versions;
5. `endpoint_list` - the servers; `endpoint_pages`, `endpoint_list_pager` and `endpoint_list_poller` read them from the
   platform, `endpoint_codec` passes them on;
6. `server_health` - passive health checks: `health_reporter` in each proxy, `health_registry` at the leader.
"""
