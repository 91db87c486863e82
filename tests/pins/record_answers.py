"""Writes the fixture of answers to operators' calls: by hand, only from a text that is known to be right.

`python tests/pins/record_answers.py --root FOLDER` plays a run of whole nodes of the text that stands in FOLDER, asks
the nodes, and keeps every answer as it came."""

import argparse
import json
import sys
from pathlib import Path
from typing import Any

TESTS = Path(__file__).resolve().parents[1]
DATA = Path(__file__).parent / "data"
SEED = 15
CUT_OFF = 3  # number of the machine that is cut off for a while, from 1
PLAN = [(7000, "cut_one", CUT_OFF - 1, "both", False, 6000)]
CONTROL, READ, ORDER = "/api/rpc", "POST", "POST"
CORE_AND_ONE_MORE = (1, 2, 3, 4, 7)
QUIET, EMPTIED, CUT = 5000, 6500, 11500  # ms


def bodies() -> dict[str, str]:
    """Configurations: one that is in order, and others with an error each."""
    good = json.loads((DATA / "configuration.json").read_text())

    def changed(**fields: Any) -> str:
        return json.dumps({**good, **fields})

    return {
        "good": changed(Revision="r900"),
        "good again": changed(Revision="r900"),
        "other content": changed(Revision="r900", Customers=good["Customers"][:1]),
        "older": changed(Revision="r3"),
        "no JSON": "{",
        "a list": "[]",
        "no revision": changed(Revision=None),
        "revision of another form": changed(Revision="7"),
        "unknown field": changed(Surprise=1),
        "no name": changed(Customers=[{"ApiKeys": ["k"]}]),
        "key twice": changed(Customers=[{"Name": "a", "ApiKeys": ["k"]}, {"Name": "b", "ApiKeys": ["k"]}]),
        "negative rate": changed(Customers=[{"Name": "a", "ApiKeys": ["k"], "PerS": -1, "Burst": 1}]),
        "unknown service": changed(Groups=good["Groups"][:1]),
        "duration": changed(Caps={"Idle": "soon"}),
    }


def asks() -> list[Any]:
    """What the nodes are asked, in the order of time."""
    from pins.adapter import Ask

    def reads(at: int) -> list[Ask]:
        made = []
        for node in CORE_AND_ONE_MORE:
            made += [Ask(at, node, READ, CONTROL, name) for name in ("state.read", "nodes.read", "servers.read")]
            made += [Ask(at, node, READ, CONTROL, "quotas.read"), Ask(at, node, "GET", "/api/ready")]
        made.append(Ask(at, 2, READ, CONTROL, "servers.read", {"of": "one", "after": "i3"}))
        made.append(Ask(at, 2, READ, CONTROL, "nodes.read", {"after": "n5"}))
        made += [Ask(at, 2, READ, CONTROL, "config.read"), Ask(at, CUT_OFF, READ, CONTROL, "config.read")]
        made += [Ask(at, 2, "GET", "/api/lookup", None, where) for where in ({}, {"Zone": "a1", "Region": "a"})]
        return made

    made = [Ask(300, node, READ, CONTROL, name) for node in (1, 7) for name in ("state.read", "servers.read")]
    made += [
        Ask(300, 1, "GET", "/api/ready"),
        Ask(300, 1, "GET", "/api/lookup"),
        Ask(300, 7, READ, CONTROL, "config.read"),
    ]
    made += reads(QUIET)
    at = QUIET + 100
    for body in bodies().values():
        made.append(Ask(at, 2, ORDER, CONTROL, "config.replace", {}, body))
        at += 60
    for node, call, query in (
        (1, "empty.start", {"of": "a1"}),
        (2, "empty.start", {"of": "a1"}),
        (7, "empty.start", {"of": "b2"}),
        (1, "empty.start", {"of": "nowhere"}),
        (1, "empty.start", {}),
        (1, "empty.finish", {"of": "nowhere"}),
        (4, "empty.finish", {"of": "a2"}),
    ):
        made.append(Ask(at, node, ORDER, CONTROL, call, query))
        at += 60
    assert at < EMPTIED
    made += reads(EMPTIED) + reads(CUT)
    made += [
        Ask(CUT + 100, CUT_OFF, ORDER, CONTROL, "config.replace", {}, bodies()["good"]),
        Ask(CUT + 100, CUT_OFF, ORDER, CONTROL, "empty.start", {"of": "a1"}),
        Ask(CUT + 1500, 4, ORDER, CONTROL, "empty.finish", {"of": "a1"}),
        Ask(CUT + 1600, 4, READ, CONTROL, "state.read"),
        Ask(CUT + 6500, 4, ORDER, CONTROL, "empty.finish", {"of": "a1"}),
        Ask(CUT + 6600, 4, ORDER, CONTROL, "empty.finish", {"of": "b2"}),
        Ask(CUT + 6700, 4, READ, CONTROL, "state.read"),
    ]
    return made


def answers() -> list[dict[str, Any]]:
    """Plays the run; the answers in the order in which they came."""
    from pins import adapter

    rows = []

    def answered(ask: Any, status: int, body: bytes, headers: tuple) -> None:
        rows.append(
            {
                "ask": list(ask[:-1]),
                "body": ask.body,
                "status": status,
                "headers": [[name.decode(), value.decode()] for name, value in headers],
                "answer": body.decode(),
            }
        )

    adapter.ask_nodes(SEED, PLAN, asks(), answered)
    return rows


URLS = (
    ("h.example/one/x", "ann-key"),
    ("http://h.example/two/x", "two-key"),
    ("h.example/put/x", "hot-key"),
    ("h.example/one/x", ""),
    ("h.example/one/x", "nobody"),
    ("h.example/none", "ann-key"),
    ("other.example/one/x", "ann-key"),
)


def read(rows: list[dict[str, Any]], at: int, node: int, call: str) -> dict[str, Any]:
    """What a node said to a call that reads."""
    return next(json.loads(row["answer"]) for row in rows if row["ask"][:5] == [at, node, READ, CONTROL, call])


def views(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """What the operators' program makes of the answers, as it prints it with `--json`."""
    from pins import adapter

    made: dict[str, Any] = {}
    configuration = (DATA / "configuration.json").read_bytes()
    for at in (QUIET, EMPTIED, CUT):
        states = [read(rows, at, node, "state.read") for node in CORE_AND_ONE_MORE]
        made[f"status at {at} ms"] = adapter.status_of(states)
        for node in (2, CUT_OFF):
            told = {call: read(rows, at, node, call) for call in ("state.read", "servers.read", "quotas.read")}
            for url, key in URLS:
                name = f"explain {url} --key {key!r} at {at} ms by {node}"
                made[name] = adapter.explain_of(configuration, told, url, key)
    return made


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=Path, default=TESTS.parent)
    sys.path[:0] = [str(parser.parse_args().root.resolve()), str(TESTS)]
    rows = answers()
    (DATA / "answers.json").write_text(json.dumps(rows, indent=1) + "\n")
    (DATA / "views.json").write_text(json.dumps(views(rows), indent=1) + "\n")
    print(f"{len(rows)} answers of {len(asks())} asked")


if __name__ == "__main__":
    main()
