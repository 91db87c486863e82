"""The node process of the system (`python -m rampfront.node`): builds its parts, runs them and shuts them down.

Every process of the system is a node. It serves clients as a proxy, exchanges state with the other nodes, and, if it
has a disk, is a member of the core that agrees on the configuration. All decisions are made in other packages, by
classes without I/O: `consensus` (the core), `membership` (dissemination of state), `proxy` (requests), `quota`
(limits). This package gives them a clock, timers, a network and a disk, performs the actions that they request, and
passes events between them.

Start with how a process is built and driven:

* `__main__`: settings, signals, exit status; `assembly`: builds and connects the parts; `ports`: replaceable
  dependencies;
* `node_process`: the record of all parts and the two timers that drive them; `context`: what all parts share;
* `scheduler`: the owner of timers and disk calls; `limits`: limits of the sockets.

Then follow a frame from another node, from the wire to the part that handles it:

* `frame_dispatch`: the table of handlers by kind of frame;
* `core_driver`: passes inputs to the core's member and performs its effects; `leadership`: acts on changes of leader;
* `receivers`: the interfaces that receive the core's events, for the type checker only;
* `dissemination_adapter`: frames and events of the disseminator; `snapshots`: the versions of the state and of the
  server list that this node holds;
* `replicated_state`: applies a committed state; `server_list_service`: polls and applies the server list;
* `server_health_exchange`, `quota_exchange` (with `quota_frames`): the data that proxies exchange.

An operator's order takes this path: `endpoints` opens the addresses (`operator_listeners` owns them), `control_calls`
checks the order, `order_submitter` (with `open_order`) sends it to the leader, where `order_executor` (with
`order_table`) passes it to the core exactly once; `order_messages` defines their protocol.

The node's own status: `readiness` and `lease` (whether it may serve), `directory_call` (the fronts that clients may
connect to), `status_views` and `evacuation_view` (the operators' read calls), `metrics` and `metrics_page`
(`metrics_catalogue` lists them for the docs), `log` and `log_events`. Reload and shutdown: `settings_reload`,
`shutdown`.
"""
