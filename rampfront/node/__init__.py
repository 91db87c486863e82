"""The process of the system (`python -m rampfront.node`): its parts, joined, from the start to the shutdown.

Every process of the system is of this kind. It serves clients as a proxy, keeps in step with the other nodes, and,
where it has a disk, is a member of the core that agrees on the configuration. What is decided is decided in other
packages, by classes without I/O: `consensus` (the core), `membership` (who holds what), `proxy` (requests), `quota`
(limits). This package gives them a clock, timers, a wire and a disk, carries out what they want done, and passes news
between them.

To read it, begin with how a process is made and driven:

* `__main__`: settings, signals, exit status; `assembly`: the parts, joined; `ports`: what they stand on;
* `node_process`: the record of all parts and the two timers that drive them; `context`: what every part shares;
* `scheduler`: the owner of timers and disk calls; `limits`: bounds of the sockets.

Then follow a frame of another node, from the wire to the part that it is for:

* `frame_dispatch`: the table of handlers by kind of frame;
* `core_driver`: inputs to the core's member, its effects carried out; `leadership`: what hangs on leading;
* `receivers`: the interfaces by which the core's news are passed on, for the type checker alone;
* `dissemination_adapter`: frames and news of the disseminator; `snapshots`: this node's versions of state and list;
* `replicated_state`: a committed state comes into force; `server_list_service`: so does a list of servers;
* `server_health_exchange`, `quota_exchange` (with `quota_frames`): what proxies tell each other.

An operator's order goes the same way: `endpoints` opens the addresses (`operator_listeners` owns them), `control_calls`
checks the order, `order_submitter` (with `open_order`) sends it to the leader, where `order_executor` (with
`order_table`) hands it to the core once; `order_messages` is their protocol.

What a node says of itself: `readiness` and `lease` (whether it may serve), `directory_call` (which fronts clients are
given), `status_views` and `evacuation_view` (the operators' read calls), `metrics` and `metrics_page`
(`metrics_catalogue` lists them for the docs), `log` and `log_events`. How it changes and ends: `settings_reload`,
`shutdown`.
"""
