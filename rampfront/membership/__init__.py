"""Fleet membership: replicates the core's state, the roster, the endpoint list and server health to every node.

No module here does I/O, apart from `Poller`. Times are ns of the local steady clock, unless a name says otherwise.

Reading order:

1. `versions` - the version numbers by which nodes compare their replicas;
2. `messages` - the four kinds of frames, their fields and their keys on the wire;
3. `dissemination` - keeps every node up to date; its parts are `heartbeats`, `responder` and `transfer_budget`,
   `leadership`, `peers`, `roster_builder` and `roster`; `dissemination_host` is the interface of the process around it;
4. `deltas` - differences between versions;
5. `endpoint_list` - the servers; `endpoint_pages`, `endpoint_list_pager` and `endpoint_list_poller` read the list from
   the platform, `endpoint_codec` encodes it for other nodes;
6. `server_health` - passive health checks: `health_reporter` in each proxy, `health_registry` at the leader.
"""
