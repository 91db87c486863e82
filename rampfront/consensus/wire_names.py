"""The names of messages and their fields on the wire.

A frame is a map with short keys, because heartbeats go to each member three times a second and bytes between zones are
priced. Old and new nodes run mixed, so these names stay as they are. `frame_encoder.py` and `frame_decoder.py` alone
know which class is which kind, and which field has which key.
"""

from typing import Any, TypeAlias

Frame: TypeAlias = dict[str, Any]  # a message as the transport carries it

# The wire's keys.
KIND = "k"
SENDER_NAME = "n"
SENDER_INCARNATION = "i"
RECEIVER_INCARNATION = "j"
TERM = "t"
POSITION = "e"
BODY_DIGEST = "d"
ROUND = "s"
COMMIT_INDEX = "c"
ENTRY = "x"  # of an AppendEntry
PASSWORD = "x"  # of a JoinRequest or a LeaderHint
VERSIONS = "v"
CLAIMS = "w"
LEADER_IP = "l"
MEMBER_IPS = "m"
IS_EXCLUDED = "o"
COUNTS_TOWARDS_SIZE = "f"
IS_SHUTTING_DOWN = "z"
SUCCESSOR = "h"  # 1: the receiver (of a VoteRequest: the sender) is named, 0: another member is

# The kinds' names.
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
