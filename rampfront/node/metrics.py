"""The metrics of a node's process, declared in one place: name, type, help.

The log (`log.py`) holds the counters under the names in `COUNTERS`, and the parts increment them. Current values
(`GAUGES`) and durations (`HISTOGRAMS`) are collected when a scraper requests them (`metrics_page.py`).
`metrics_catalogue.py` lists all metrics, for the docs and for tests.
"""

PREFIX = "rampfront_"

# In output order. The first counters belong to the packages shared with the edge node
# (`net.event_log.SHARED_COUNTERS`).
COUNTERS = {
    "clients": "Connections of clients that were accepted.",
    "clients_shed": "Connections of clients that were closed, or turned away, because too many were open.",
    "taken": "Requests that were read completely.",
    "malformed": "Requests that were not valid HTTP, or beyond the bounds of the configuration.",
    "pipelined": "Requests that came before the one in front of them had its answer.",
    "slow": "Connections of clients that were closed for being too slow.",
    "left": "Clients that closed the connection before their answer.",
    "settled": "Requests that were answered with a server's answer.",
    "declined": "Requests that were turned away with the promise that they have not run.",
    "voided": "Requests that may have run, and have no answer of a server.",
    "turned_away": "Requests on connections beyond the bound, which were answered 503 with a Retry-After.",
    "submissions": "Attempts at servers, retries and hedged requests included.",
    "dispatches": "Attempts that were written to a connection.",
    "resent": "Retries: attempts after one that failed.",
    "copies": "Hedged requests: attempts beside one that is late.",
    "done": "Attempts that ended with an answer.",
    "relayed": "Answers of servers that were passed on.",
    "error": "Attempts that ended with a server's error.",
    "unseen": "Attempts that the server never took up.",
    "timed_out": "Attempts that ended by their time limit.",
    "broken": "Attempts whose connection broke.",
    "cancelled": "Attempts that were cancelled.",
    "connects": "Connections to servers that were opened.",
    "connects_failed": "Connections to servers that did not come about.",
    "links_shed": "Connections to servers that were closed because too many were open.",
    "links_short": "Attempts that found no free connection within the bound.",
    "probes": "Health checks that were sent.",
    "probes_failed": "Health checks that failed.",
    "memory_yielded": "Requests and answers given up because memory was short and their clients had stalled.",
    "memory_refused": "Requests, and answers of servers, that found no memory.",
    "odd_answers": "Answers of servers that were not valid.",
    "faults": "Defects: exceptions that no part expected.",
    "frames_sent": "Frames to other nodes that went as one datagram.",
    "transfers_started": "Frames to other nodes that went over a connection.",
    "frames_lost": "Frames over connections that did not arrive, as far as is known.",
    "frames_replaced": "Frames that were dropped unsent because a newer one of their kind took their place.",
    "frames_invalid": "Frames of other nodes that were not valid.",
    "frames_truncated": "Frames of other nodes that ended before they were complete.",
    "unknown_route": "Requests answered 404: no route has this host and path.",
    "unknown_key": "Requests answered 401: no tenant has this key.",
    "over_quota": "Requests answered 429: the tenant's quota is used up.",
    "no_lease": "Requests answered 503: the node has no configuration, or its lease has expired.",
    "no_server": "Requests answered 503: no server of the service is available.",
    "unexecuted_no_connection": "Attempts that did not run: no connection could be used.",
    "unexecuted_connect_failed": "Attempts that did not run: the connect failed.",
    "unexecuted_connect_timed_out": "Attempts that did not run: the connect took too long.",
    "unexecuted_delisted": "Attempts that did not run: the server left the list during the connect.",
    "unexecuted_expired": "Attempts that did not run: the time was over before the request was written.",
    "unexecuted_rejected": "Attempts that did not run: the server's answer names the request and says so.",
    "unexecuted_rejected_unnamed": "Attempts that did not run, by the first answer on their connection, without an id.",
    "unexecuted_misdirected": "Attempts that did not run: another server stands at the address.",
    "resent_same_connection": "Retries on a connection that had carried an earlier attempt of the request; always 0.",
    "declined_in_flight": "Requests that were to be turned away while an attempt was in flight; always 0.",
    "misdirected": "Answers 421 of servers: another server stands at the address.",
    "server_lists": "Complete lists of servers that were read from the platform.",
    "server_lists_failed": "Rounds of the platform's list of servers that failed.",
    "orders": "Orders of operators that were submitted at this node.",
    "orders_refused": "Orders that were refused as faulty, or as in conflict with a confirmed revision.",
    "orders_repeated": "Requests for an order that this node, as the leader, had already.",
    "orders_busy": "Orders that were refused because too many were in flight.",
    "orders_given_up": "Orders on zones that this node did not carry out: their callers had gone, or may have.",
    "orders_late": "Orders on zones that reached this node, as the leader, behind their deadline; not carried out.",
    "orders_abandoned": "Orders that the core never answered to this node as the leader.",
    "replies_unsolicited": "Replies to orders that nobody waited for, or that did not count.",
    "stores": "Records of the core that were handed to the disk.",
    "stores_failed": "Records of the core that the disk refused.",
}

# In output order. A gauge whose value is not known is omitted.
GAUGES = {
    "ready": "1: the node asks for clients.",
    "lease_valid": "1: what the node holds is young enough to let requests run.",
    "out_of_touch": "1: no majority of the core has stood behind what the node holds for 2.5 s.",
    "out_of_touch_seconds": "For how long that has been so; 0 while the node is in touch.",
    "leader_silent_seconds": "For how long the leader itself has not answered this node; 0 up to 2.5 s.",
    "leads": "1: the node leads the core.",
    "shutting_down": "1: the node is shutting down.",
    "lease_duration_seconds": "Age of the lease past which no request runs.",
    "lease_age_seconds": "Time since a majority of the core stood behind what the node holds.",
    "configuration_revision": "The revision of the configuration in force here.",
    "core_state_index": "The log index of the core's state in force here.",
    "core_term": "The term in which that state was proposed.",
    "core_members": "Members of the core, by that state.",
    "zones_evacuated": "Zones that are evacuated, by that state.",
    "core_members_target": "At the leader: how many members the core should have.",
    "core_members_silent": "At the leader: members that do not answer.",
    "core_members_leaving": "At the leader: members that shut down.",
    "core_learners": "At the leader: nodes that catch up in order to become members.",
    "core_full_strength": "At the leader: 1 while the core is at full strength.",
    "core_full_strength_seconds": "At the leader: for how long, in its term.",
    "core_below_target_seconds": "At the leader: for how long, in its term, too few members have answered.",
    "core_outside_seconds": "For how long this node, with a disk, has been no member of the core; 0 for a member.",
    "nodes_known": "Nodes of the roster.",
    "nodes_ready": "Nodes of the roster that are ready.",
    "servers_listed": "Servers of the list in force here.",
    "servers_ready": "Servers of that list that are ready.",
    "server_list_age_seconds": "Time since that list changed.",
    "client_connections": "Connections of clients that are open.",
    "memory_charged_bytes": "What requests, calls and answers occupy, by the memory account.",
    "memory_capacity_bytes": "The most that they may occupy on this machine.",
    "quota_counter_silent": "1: the counter of quotas does not answer, and the node goes by its even share.",
}

# In output order.
HISTOGRAMS = {
    "request": "From a complete request to its answer, at this node; what was sent to no server is left out.",
    "server_answer": "From an attempt handed to a server to its complete answer, good or bad.",
    "quota_round_trip": "From counts sent to the counter of quotas to its answer, retransmissions included.",
    "lease_age_sampled": "Age of the lease, sampled ten times a second.",
}


def counter_name(name: str) -> str:
    """Return the full name of a counter."""
    return f"{PREFIX}{name}_total"


def gauge_name(name: str) -> str:
    """Return the full name of a gauge."""
    return f"{PREFIX}{name}"


def histogram_name(name: str) -> str:
    """Return the full name of a histogram."""
    return f"{PREFIX}{name}_seconds"
