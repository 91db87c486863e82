"""Messages between keepers, checked before anything looks at them. Each is a table with the short keys below."""

from .errors import RemoteProtocolError
from .state import MOST_NAMES


def number(value):
    return type(value) is int and 0 <= value < 1 << 53


def name(value):
    return type(value) is str and 0 < len(value) <= 200


def address(value):
    return type(value) is str and len(value) <= 45


def stamp(value):
    return type(value) in (list, tuple) and len(value) == 2 and number(value[0]) and number(value[1])


def mark(value):
    return type(value) is bytes and len(value) <= 16


def row(value):
    return type(value) is list


def places(value):
    return type(value) is list and len(value) <= 2 * MOST_NAMES and all(address(each) for each in value)


# k: kind. n, i: the sender's name and incarnation; j: the receiver's, as the sender knows it. t: term. e: stamp of the
# sender's entry. d: mark of its body. s: number of the round. c: index up to which entries of this term are in force.
# x: the entry; for knocks and hints the leader's password. v: the entry's versions, as a difference (`versions.py`).
# l: the leader's ip. m: ips of members. o: 1 if the receiver, by the incarnation j, is no member.
WHO = {"n": name, "i": number}
BOUND = {**WHO, "j": number, "t": number}
KINDS = {
    "knock": {**WHO, "x": number},  # I have a disk and am no member: take me in
    "seek": {},  # who leads?
    "at": {"t": number, "l": address, "m": places, "x": number, "o": number},
    "ask": {**BOUND, "e": stamp},  # would you vote for me in that term?
    "may": BOUND,
    "run": {**BOUND, "e": stamp},  # vote for me
    "aye": BOUND,
    "nay": {"t": number},  # there is a newer term
    "beat": {**BOUND, "s": number, "c": number},
    "full": {**BOUND, "s": number, "c": number, "x": row},
    "ack": {**BOUND, "s": number, "e": stamp, "d": mark},
    "quit": BOUND,  # I lead no longer
}
# May be left out, v by a leader of before. f: 1 if this is the first start of the whole system. z: 1 if the sender is
# about to end. h: 1 if the leader that leaves names the receiver (or, in a request for votes, the sender) to follow it,
# 0 if another one. n and i are those of a member that finds no leader and seeks one.
OPTIONAL = {"f": number, "z": number, "h": number, "j": number, "i": number, "n": name, "v": row}


def check(message):
    """The kind of a message, or `RemoteProtocolError`."""
    if type(message) is not dict or len(message) > 16:
        raise RemoteProtocolError("no table")
    fields = KINDS.get(kind) if type(kind := message.get("k")) is str else None
    if fields is None:
        raise RemoteProtocolError("kind")
    for key, proper in fields.items():
        if not proper(message.get(key)):
            raise RemoteProtocolError(f"{kind}: {key}")
    for key, proper in OPTIONAL.items():
        if key in message and not proper(message[key]):
            raise RemoteProtocolError(f"{kind}: {key}")
    return kind
