"""The operators' calls that become orders: a new configuration, an evacuation, or a read confirmed by the core.

Each call is checked here, submitted as an order to the core's leader, and answered when its outcome is known, or with
503 after a timeout. Source of names and bodies: PROTOCOL.md, "The operator".
"""

from __future__ import annotations

import zlib
from hashlib import blake2b
from typing import TYPE_CHECKING

from result import Err

from ..consensus.evacuations import EXPLICIT_IDENTITY
from ..consensus.events import OrderKind, Outcome
from ..consensus.state import MAX_BODY_BYTES
from ..consensus.version_history import content_digest
from ..net.http_messages import error_response, json_response
from ..net.http_routing import endpoint
from ..net.memory_account import MemoryAccount, MemoryShortError
from ..settings import configuration_reader
from ..settings.json_cost import decoded_bytes
from .evacuation_view import evacuation_view, hold_name, parse_hold, still_held_message
from .order_messages import GIVEN_UP

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..consensus.state import State
    from ..net.http_messages import IncomingRequest, Response
    from .order_submitter import OrderSubmitter

MAX_REQUEST_BYTES = 32 << 20
MAX_COMPRESSED_BYTES = MAX_BODY_BYTES - (64 << 10)  # of a configuration; leaves room for a frame's other fields
MAX_SHOWN_ZONE = 64  # characters of an unknown zone quoted in the answer
MAX_KEY_BYTES = 64  # of an idempotency key
IDENTITY_BYTES = 6
NO_ANSWER = error_response(503, "the core gave no answer in time", ((b"Retry-After", b"0.3"),))
MAY_BE_STALE = error_response(
    503,
    "not carried out: it may have been sent over a second ago; send it again on a new connection",
    ((b"Retry-After", b"0.3"),),
)
NEEDS_REPEAT = error_response(
    503,
    "not carried out: may have been sent before a later order on the zone was acknowledged; send it again",
    ((b"Retry-After", b"0.3"),),
)
# By outcomes after which an order on a zone never takes effect.
ANSWERS: dict[str | None, Response] = {GIVEN_UP: MAY_BE_STALE, Outcome.NEEDS_REPEAT: NEEDS_REPEAT}


class ControlCalls:
    """The operators' calls that become orders."""

    def __init__(self, orders: OrderSubmitter, zones: Mapping[str, str], memory: MemoryAccount) -> None:
        """`zones`: the region of each zone of the settings; `memory`: the node's account, whose counters are used."""
        self._orders = orders
        self._zones = zones
        self._memory = memory
        self.counts = memory.counts

    @endpoint("POST", "/api/rpc", operation="config.replace", max_body_bytes=MAX_REQUEST_BYTES)
    def replace_configuration(self, request: IncomingRequest) -> Response | None:
        """Apply a configuration. An invalid or too large one is rejected here."""
        needed_bytes = decoded_bytes(request.body)
        if needed_bytes > self._memory.largest_charge_bytes:
            return error_response(413, f"the body takes {needed_bytes} bytes once it is read, more than there are here")
        try:
            with self._memory.reserve(needed_bytes):
                found = configuration_reader.read(request.body)
        except MemoryShortError as error:
            return error_response(error.status, str(error), ((b"Retry-After", b"0.3"),))
        if isinstance(found, Err):
            self.counts["orders_refused"] += 1
            return json_response({"Message": str(found.err_value), "Field": found.err_value.field}, 400)
        revision, body = found.ok_value.revision, zlib.compress(request.body)
        if len(body) > MAX_COMPRESSED_BYTES:
            message = f"the body is {len(body)} bytes when compressed, {MAX_COMPRESSED_BYTES} are taken"
            return json_response({"Message": message, "Field": ""}, 413)

        def on_done(outcome: str | None, state: State | None) -> None:
            """Answer the caller."""
            if outcome == Outcome.DONE and state is not None:
                reply(request, json_response({"Revision": f"r{revision}", "Holds": f"r{state.revision}"}))
            elif outcome == Outcome.CONFLICT and state is not None:
                self.counts["orders_refused"] += 1
                reply(request, conflict_answer(revision, body, state))
            else:
                reply(request, NO_ANSWER)

        self._orders.submit(OrderKind.CONFIGURE, (revision, body), on_done)
        return None

    @endpoint("POST", "/api/rpc", operation="config.read")
    def read_configuration(self, request: IncomingRequest) -> None:
        """Return the configuration in force, confirmed by a majority of the core."""

        def on_done(outcome: str | None, state: State | None) -> None:
            """Answer the caller."""
            if outcome != Outcome.DONE or state is None:
                reply(request, NO_ANSWER)
            elif not state.revision:
                request.respond(404, b'{"Message":"no configuration yet"}')
            else:
                request.respond(200, zlib.decompress(state.body))

        self._orders.submit(OrderKind.READ, None, on_done)

    @endpoint("POST", "/api/rpc", operation="evacuations.read")
    def read_evacuations(self, request: IncomingRequest) -> None:
        """Return the evacuated zones and the configuration's revision, confirmed by a majority of the core."""

        def on_done(outcome: str | None, state: State | None) -> None:
            """Answer the caller."""
            if outcome != Outcome.DONE or state is None:
                reply(request, NO_ANSWER)
                return
            zones = sorted(state.evacuated_zones)
            fields = {
                "Revision": f"r{state.revision}" if state.revision else None,
                "Emptied": zones,
                "Evacuations": [evacuation_view(zone, state) for zone in zones],
            }
            reply(request, json_response(fields))

        self._orders.submit(OrderKind.READ, None, on_done)

    @endpoint("POST", "/api/rpc", operation="empty.start")
    def start_evacuation(self, request: IncomingRequest) -> Response | None:
        """Take a zone's servers out of use. With an idempotency key, the order is a hold of its own, of that key."""
        return self._change_zone(request, OrderKind.EVACUATE)

    @endpoint("POST", "/api/rpc", operation="empty.finish")
    def finish_evacuation(self, request: IncomingRequest) -> Response | None:
        """Take a zone's servers back into use, whoever has evacuated it; 409 if holds of other keys are left.

        With `hold` in the query, the hold of that name alone is ended, whoever has it.
        """
        hold = request.query.get("hold")
        return self._change_zone(request, OrderKind.RESTORE) if hold is None else self._end_hold(request, hold)

    def _zone(self, request: IncomingRequest) -> str | Response:
        """Return the zone in the query, or the answer to a request without a known one."""
        zone = request.query.get("of")
        if zone is None:
            return json_response({"Message": "of: missing in the query", "Field": "of"}, 400)
        if zone not in self._zones:
            return json_response({"Message": f"of: {zone[:MAX_SHOWN_ZONE]!r} is no zone", "Field": "of"}, 400)
        return zone

    def _end_hold(self, request: IncomingRequest, hold: str) -> Response | None:
        """End the hold of a name. A repeat of the order changes nothing."""
        zone, identity = self._zone(request), parse_hold(hold)
        if not isinstance(zone, str):
            return zone
        if identity is None:
            return json_response({"Message": f"hold: {hold[:MAX_SHOWN_ZONE]!r} is no hold", "Field": "hold"}, 400)

        def on_done(outcome: str | None, state: State | None) -> None:
            """Answer the caller."""
            if outcome != Outcome.DONE or state is None or identity in state.evacuation_of(zone).named:
                reply(request, not_done(outcome))
            else:
                reply(request, json_response(evacuation_view(zone, state)))

        self._orders.submit(OrderKind.END_HOLD, (zone, identity), on_done, caller=request)
        return None

    def _change_zone(self, request: IncomingRequest, kind: OrderKind) -> Response | None:
        zone = self._zone(request)
        if not isinstance(zone, str):
            return zone
        key = request.idempotency_key
        if len(key) > MAX_KEY_BYTES:
            message = f"Idempotency-Key: over {MAX_KEY_BYTES} bytes"
            return json_response({"Message": message, "Field": "Idempotency-Key"}, 400)
        identity = explicit_identity(key) if key else self._orders.next_identity()

        def on_done(outcome: str | None, state: State | None) -> None:
            """Answer the caller."""
            # The caller opens a connection for the next attempt: its age bounds that of the order.
            request.closes_connection = outcome == GIVEN_UP
            if outcome not in (Outcome.DONE, Outcome.CONFLICT) or state is None:
                reply(request, not_done(outcome))
            elif kind is OrderKind.EVACUATE:
                reply(request, evacuated_answer(zone, state, identity))
            else:
                reply(request, restored_answer(zone, state, identity))

        self._orders.submit(kind, zone, on_done, identity, caller=request)
        return None


def not_done(outcome: str | None) -> Response:
    """Return the 503 for an order on a zone that has not taken effect, as far as this node knows."""
    return ANSWERS.get(outcome, NO_ANSWER)


def evacuated_answer(zone: str, state: State, identity: int) -> Response:
    """Return the answer to an order to evacuate a zone: 200 only if the committed state has the order in force."""
    evacuation = state.evacuation_of(zone)
    if evacuation.evacuated(identity) != evacuation:
        return NO_ANSWER
    named = {"Hold": hold_name(identity)} if identity in evacuation.named else {}
    return json_response(evacuation_view(zone, state) | named)


def restored_answer(zone: str, state: State, identity: int) -> Response:
    """Return the answer to an order to restore a zone: 200 only if the zone is open in the committed state.

    What the order could end has ended with a 409 as well; sent again, it gets the same answer. Where something is left
    that it ends, it has not taken effect: a leader of an older version counts operators.
    """
    evacuation = state.evacuation_of(zone)
    if evacuation.restored(identity) != evacuation:
        return NO_ANSWER
    view = evacuation_view(zone, state)
    if evacuation.holds:
        return json_response({"Message": still_held_message(zone, state), **view}, 409)
    return json_response(view)


def explicit_identity(key: bytes) -> int:
    """Return the identity of an order with an idempotency key."""
    found = blake2b(key, digest_size=IDENTITY_BYTES).digest()
    return EXPLICIT_IDENTITY | int.from_bytes(found, "big")


def reply(request: IncomingRequest, answer: Response) -> bool:
    """Answer a pending call. Returns whether this is the answer that its caller gets."""
    return request.respond(answer.status, answer.body, answer.headers)


def conflict_answer(revision: int, body: bytes, state: State) -> Response:
    """Return the 409 for a configuration whose revision was already confirmed with another content."""
    advice = f"raise Revision above r{state.revision}"
    fields = {
        "Message": f"Revision: r{revision} was confirmed with another content, and r{state.revision} holds; {advice}",
        "Field": "Revision",
        "Sent": {"Revision": f"r{revision}", "Digest": content_digest(body).hex()},
        "Holds": {"Revision": f"r{state.revision}", "Digest": content_digest(state.body).hex()},
    }
    return json_response(fields, 409)
