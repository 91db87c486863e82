"""Commands that evacuate zones and take them back."""

import asyncio
import uuid
from http import HTTPStatus

import click
from result import Ok

from .control_answers import Answer, Rejection, format_address
from .errors import RejectedError
from .evacuations import evacuation_note, parse_evacuation
from .session import Session, with_session

EVACUATE = "empty.start"
TAKE_BACK = "empty.finish"


@click.command()
@click.argument("zone")
@with_session
def evacuate(session: Session, zone: str) -> None:
    """Send no new requests to the servers of ZONE. Those in flight are finished; `return` ends the evacuation."""
    answer = _order(session, EVACUATE, zone)
    _print_outcome(session, EVACUATE, zone, answer, "is emptied; its servers get nothing new")


@click.command("return")
@click.argument("zone")
@click.option("--hold", help="End the hold of this name, whoever has it; `return` and `status` name the holds.")
@with_session
def take_back(session: Session, zone: str, hold: str | None) -> None:
    """Send requests to the servers of ZONE again, once nobody else holds it.

    They pass through slow start, for the Warmup of their service.
    """
    answer = _order(session, TAKE_BACK, zone, hold)
    evacuation = parse_evacuation(answer.body)
    if evacuation.get("Emptied"):
        outcome = f"stays emptied{evacuation_note(evacuation)}"
    else:
        outcome = "is taken back; its servers count as cold for their Warmup"
    _print_outcome(session, TAKE_BACK, zone, answer, outcome)


def _order(session: Session, name: str, zone: str, hold: str | None = None) -> Answer:
    """Sends an order on a zone; ends the command if it fails, and lists the known zones if the zone is unknown.

    Each command has its own idempotency key, so that its retries do not count as another operator's order.
    """
    key = uuid.uuid4().hex.encode()
    query = {"of": zone} if hold is None else {"of": zone, "hold": hold}
    result = asyncio.run(session.client.call(name, query=query, key=key))
    if isinstance(result, Ok):
        return result.ok_value
    failure = result.err_value
    if isinstance(failure, Rejection) and failure.status == HTTPStatus.BAD_REQUEST and hold is None:
        raise RejectedError(f"{failure}\n  known zones: {_known_zones(session)}")
    raise session.error_of(failure, name)


def _known_zones(session: Session) -> str:
    state = asyncio.run(session.client.call("state.read"))
    return ", ".join(sorted(state.ok_value.document["Zones"])) if isinstance(state, Ok) else "unavailable"


def _print_outcome(session: Session, name: str, zone: str, answer: Answer, outcome: str) -> None:
    document = {"Zone": zone, "Order": name, "By": format_address(answer.address)}
    evacuation = parse_evacuation(answer.body)
    session.print(document | ({"Evacuation": evacuation} if evacuation else {}), f"{zone} {outcome}")
