"""The consensus core: a small group of members that replicates one state and tolerates lost machines, disks and links.

The state consists of the operators' configuration, the evacuated zones and the member list (`state.py`). The protocol
is Raft (D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014: "the paper"; D. Ongaro,
"Consensus: Bridging Theory and Practice", 2014: "the dissertation"), and the code uses Raft's terms. It differs from
Raft as follows:

- The log has a single entry, which holds the whole state, so there is no log compaction and there are no snapshots. The
  large parts of an entry are sent as a delta, or left out if the receiver already has them.
- A member is identified by a name and an incarnation, which is drawn at random when its disk is empty, so that a
  machine that lost its disk cannot vote twice.
- In a core of two members, one can continue alone if the other has lost its disk (`electorate.py`).
- The state also records which content was confirmed under each configuration number (`version_history.py`), and what
  keeps a zone evacuated (`evacuations.py`).

Only `record_store.py` does I/O, and no module reads a clock: `Member.take(now, event)` returns effects, which `node/`
and the simulation carry out. `docs/system/survival.md` states the guarantees and how they are checked.

Suggested reading order:

1. Data types: `identifiers.py`, `state.py` (with `version_history.py`, `evacuations.py`), `events.py`, `messages.py`.
2. The member: `member.py` handles inputs, `message_handler.py` handles messages, `roles.py` connects the components;
   `context.py` is the context they share, `errors.py` defines the exceptions they raise.
3. Persistence: `persistent_state.py`, `deferred_responses.py`; on disk: `record.py`, `record_store.py`.
4. Leader election: `election.py`, `electorate.py`, `leader_discovery.py`.
5. Follower: `entry_receiver.py`, with `body_history.py`.
6. Leader: `leader.py` and its components `heartbeat_rounds.py`, `replication.py` (with `replica_progress.py`),
   `order_queue.py`, `order_application.py`, `zone_order_application.py` (with `late_orders.py`),
   `membership_change.py`, `leadership_transfer.py`, `core_strength.py`.
7. Wire format: `wire_names.py`, `frame_decoder.py`, `frame_encoder.py`.
"""
