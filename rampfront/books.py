"""The books that each front keeps of what is out, so that indices are given back once nothing refers to them.

They decide nothing and know no protocol. Emptied by final answers, ended submissions and the server list.
"""


class Indices:
    """Outside ids to small indices, which are used again once they are free."""

    def __init__(self):
        self.of, self.ids, self.spare = {}, [], []

    def take(self, outside):
        index = self.of.get(outside)
        if index is None:
            if self.spare:
                index = self.spare.pop()
                self.ids[index] = outside
            else:
                index = len(self.ids)
                self.ids.append(outside)
            self.of[outside] = index
        return index

    def free(self, index):
        del self.of[self.ids[index]]
        self.ids[index] = None  # what it named may go
        self.spare.append(index)


class Books:
    """`out` holds, for each open txn, its submissions so far, those out, and whether it is over; `busy`
    counts what is out at each app server; `gone` are the app servers that left the list."""

    def __init__(self):
        self.txns, self.servers = Indices(), Indices()
        self.out, self.busy, self.gone, self.over = {}, {}, set(), []

    def take(self, outside):
        txn = self.txns.take(outside)
        self.out[txn] = [0, set(), False]
        return txn

    def sent(self, txn, server):
        row = self.out[txn]
        row[1].add(row[0])
        row[0] += 1
        self.asked(server)
        return row[0] - 1

    def asked(self, server):
        self.busy[server] = self.busy.get(server, 0) + 1

    def back(self, txn, attempt, server, final):
        """A submission has ended; tells whether the txn is over."""
        row = self.out[txn]
        row[1].discard(attempt)
        self.busy[server] -= 1
        if final:
            row[2] = True
        if row[2]:
            self.over.append(txn)
        return row[2]

    def finish(self, txn):
        """The txn is over; false if it was."""
        was, self.out[txn][2] = self.out[txn][2], True
        self.over.append(txn)
        return not was

    def listed(self, outside, removed):
        """The index of an app server on the list; None for one that goes without ever having come."""
        if removed and outside not in self.servers.of:
            return None
        index = self.servers.take(outside)
        (self.gone.add if removed else self.gone.discard)(index)
        return index

    def only(self, rows):
        """A whole list removes what it leaves out."""
        named = {row.server for row in rows}
        self.gone.update(index for index in self.servers.of.values() if index not in named)

    def settle_up(self):
        """After an input: gives back txns that are over with nothing out, and departed app servers."""
        if self.over:
            for txn in dict.fromkeys(self.over):
                if txn in self.out and self.out[txn][2] and not self.out[txn][1]:
                    del self.out[txn]
                    self.txns.free(txn)
            self.over.clear()
        if self.gone:
            for index in [index for index in sorted(self.gone) if not self.busy.get(index)]:
                self.gone.discard(index)
                self.busy.pop(index, None)
                self.servers.free(index)
