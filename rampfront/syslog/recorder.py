"""What the decision driver tells of its decisions, as rows for the sink. It decides nothing and sends nothing."""

from .. import terms as t

STATES = {t.UP: "up", t.DRAINING: "drain", t.REMOVED: "removed"}


class Recorder:
    """`record(event, exchange, **more)` for a txn; `record(None, uid, state=...)` for a registry box, of which only
    changes are told. `boxes` holds the state last told, by uid; emptied as boxes are removed."""

    def __init__(self, sink, names, settled):
        self.sink, self.settled, self.boxes = sink, settled, {}
        self.products = list(names.products)

    def __call__(self, event, about, **more):
        if event is None:
            return self.box(about, more["state"])
        if event == "settled" and not self.settled:
            return
        if about is None:
            return self.sink.record(event, *more.items())
        self.sink.record(
            event,
            ("account", about.account),
            ("product", self.products[about.product]),
            ("txn", about.id.decode("latin-1")),
            ("box", about.server),
            *more.items(),
        )

    def box(self, uid, state):
        known = self.boxes.get(uid)
        if state == t.REMOVED:
            self.boxes.pop(uid, None)
        else:
            self.boxes[uid] = state
        if known != state and (known is not None or state != t.UP):
            self.sink.record(STATES[state], ("box", uid))
