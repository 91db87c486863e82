"""The write-ahead rule of once-only txns: when a submission may leave, given the journal's state. No I/O, no clock.

A submission leaves once its intent is durable, and not before. `JOURNAL` says what a write's end makes of the journal;
`INTENT` what becomes of one submission. Whoever carries out an effect does it once.

Empties: `waiting` by each end of a write, so it holds what came within one batch, `most` at most.
"""

WELL, FULL = "well", "full"
WROTE, FAILED = "wrote", "failed"
# (state, end of a write): next, effect. FULL stands for every failure to write: of room, of the disk, of the folder.
JOURNAL = {
    (WELL, WROTE): (WELL, None),
    (WELL, FAILED): (FULL, "told"),
    (FULL, WROTE): (WELL, "told"),
    (FULL, FAILED): (FULL, None),
}

WAITING, OFF, SENT, GONE = "waiting", "off", "sent", "gone"
CALLED_OFF = "called off"
SEND, REFUSE, UNDO = "send", "refuse", "undo"  # UNDO: it never left, though its intent stands: say so in the journal
INTENT = {
    (WAITING, WROTE): (SENT, SEND),
    (WAITING, FAILED): (GONE, REFUSE),
    (WAITING, CALLED_OFF): (OFF, None),
    (OFF, WROTE): (GONE, UNDO),
    (OFF, FAILED): (GONE, None),
}


class Ahead:
    def __init__(self, most=4096):
        self.state, self.most = WELL, most
        self.waiting = {}  # number of an intent to its state

    def may_take(self):
        """Whether a once-only txn may be taken at all: else it is declined at the door, before anything is sent."""
        return self.state == WELL and len(self.waiting) < self.most

    def intend(self, number):
        """False: refused at once, nothing is to be written."""
        if not self.may_take():
            return False
        self.waiting[number] = WAITING
        return True

    def call_off(self, number):
        """True if it has not left, and now never will."""
        if self.waiting.get(number) != WAITING:
            return False
        self.waiting[number] = INTENT[WAITING, CALLED_OFF][0]
        return True

    def ended(self, how, numbers):
        """A write of these intents has ended: [(number, effect)], and whether the journal's state is news."""
        self.state, news = JOURNAL[self.state, how]
        found = []
        for number in numbers:
            if state := self.waiting.pop(number, None):
                effect = INTENT[state, how][1]
                if effect:
                    found.append((number, effect))
        return found, news is not None
