"""Names of message kinds and fields on the wire.

A frame is a map with short keys, because each member receives heartbeats three times a second and traffic between zones
is billed by the byte. Nodes of different versions run together, so the names must not change. Only `frame_encoder.py`
and `frame_decoder.py` map classes to kinds and fields to keys.
"""

from typing import Any, TypeAlias

Frame: TypeAlias = dict[str, Any]  # a message as the transport carries it

# Field keys.
KIND = "k"
SENDER_NAME = "n"
SENDER_INCARNATION = "i"
RECEIVER_INCARNATION = "j"
TERM = "t"
POSITION = "e"
BODY_DIGEST = "d"
ROUND = "s"
COMMIT_INDEX = "c"
ENTRY = "x"  # in an AppendEntry
JOIN_TOKEN = "x"  # in a JoinRequest or a LeaderHint
VERSIONS = "v"
CLAIMS = "w"
LEADER_IP = "l"
MEMBER_IPS = "m"
IS_EXCLUDED = "o"
IS_INITIAL_MEMBER = "f"
IS_SHUTTING_DOWN = "z"
SUCCESSOR = "h"  # 1: the receiver (in a VoteRequest: the sender) is the named successor, 0: another member is

# Message kinds.
JOIN_REQUEST = "knock"
LEADER_QUERY = "seek"
LEADER_HINT = "at"
PRE_VOTE_REQUEST = "ask"
PRE_VOTE_GRANTED = "may"
VOTE_REQUEST = "run"
VOTE_GRANTED = "aye"
TERM_REJECTED = "nay"
HEARTBEAT = "beat"
APPEND_ENTRY = "full"
APPEND_ACKNOWLEDGED = "ack"
LEADERSHIP_ENDED = "quit"
