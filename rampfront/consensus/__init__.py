"""The core of the system: a few members agree on one state, and survive the loss of machines, disks and links.

The state is the operators' configuration, the zones being evacuated and the list of the members (`state.py`). The
agreement is Raft (D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014: "the paper";
D. Ongaro, "Consensus: Bridging Theory and Practice", 2014: "the dissertation"), in Raft's own words. What is our own:

- The log has one entry, which is the whole state. So there is no log to compact, and no snapshot beside it; what is
  large in an entry is sent as a delta, or not at all where the receiver has it.
- A member is a name with an incarnation, drawn when its disk is empty: a machine that lost its disk can't vote twice.
- A core of two goes on alone when one of them has lost its disk (`electorate.py`).
- Which content a configuration's number stands for is replicated too (`version_history.py`), and who keeps a zone
  evacuated, as far as that can be known (`evacuations.py`).

No module but `record_store.py` does I/O, and none reads a clock: `Member.take(now, event)` returns effects, which
`node/` and the simulation carry out. `docs/system/survival.md` says what is promised, and how it is checked.

To read it from the start:

1. The data: `identifiers.py`, `state.py` (with `version_history.py`, `evacuations.py`), `events.py`, `messages.py`.
2. The member: `member.py` takes the inputs, `message_handler.py` the messages among them, `roles.py` joins the parts;
   `context.py` is what they share, `errors.py` what they raise.
3. What must not be forgotten: `persistent_state.py`, `deferred_responses.py`; on disk: `record.py`, `record_store.py`.
4. Who leads: `election.py`, `electorate.py`, `leader_discovery.py`.
5. Following: `entry_receiver.py`, with `body_history.py`.
6. Leading: `leader.py`, and its parts `heartbeat_rounds.py`, `replication.py` (with `replica_progress.py`),
   `order_queue.py`, `order_application.py` (with `repeat_window.py`), `membership_change.py`,
   `leadership_transfer.py`, `core_strength.py`.
7. The wire: `wire_names.py`, `frame_decoder.py`, `frame_encoder.py`.
"""
