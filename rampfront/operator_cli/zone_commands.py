"""Commands that evacuate zones and take them back.

Each operator has a hold of their own, named by the login name: it is the idempotency key of the orders. So the `return`
of one operator ends no hold of another, and a repeated order is known as one.
"""

import asyncio
import getpass
from http import HTTPStatus

import click
from result import Ok

from .control_answers import Answer, Rejection, format_address
from .errors import RejectedError
from .evacuations import evacuation_note, parse_evacuation
from .session import Session, with_session

EVACUATE = "empty.start"
TAKE_BACK = "empty.finish"
UNKNOWN_OPERATOR = "operator"  # without a login name, as in a bare container


def login_name() -> str:
    """Returns the name of whoever runs the command."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return UNKNOWN_OPERATOR


operator_option = click.option(
    "--operator",
    envvar="RAMPFRONT_OPERATOR",
    default=login_name,
    help="Whose hold it is; by default RAMPFRONT_OPERATOR, or the login name.",
)


@click.command()
@click.argument("zone")
@operator_option
@with_session
def evacuate(session: Session, zone: str, operator: str) -> None:
    """Send no new requests to the servers of ZONE. Those in flight are finished; `return` ends the evacuation."""
    answer = _order(session, EVACUATE, zone, operator)
    _print_outcome(session, EVACUATE, zone, answer, "is emptied; its servers get nothing new")


@click.command("return")
@click.argument("zone")
@click.option("--hold", help="End the hold of this name alone, whoever has it; `return` names the holds that are left.")
@operator_option
@with_session
def take_back(session: Session, zone: str, hold: str | None, operator: str) -> None:
    """Send requests to the servers of ZONE again. Fails while other operators hold it, and names their holds.

    They pass through slow start, for the Warmup of their service.
    """
    answer = _order(session, TAKE_BACK, zone, operator, hold)
    evacuation = parse_evacuation(answer.body)
    if evacuation.get("Emptied"):
        outcome = f"stays emptied{evacuation_note(evacuation)}"
    else:
        outcome = "is taken back; its servers count as cold for their Warmup"
    _print_outcome(session, TAKE_BACK, zone, answer, outcome)


def _order(session: Session, name: str, zone: str, operator: str, hold: str | None = None) -> Answer:
    """Sends an order on a zone; ends the command if it fails, and lists the known zones if the zone is unknown."""
    if not (operator.isascii() and operator.isprintable()):
        raise click.BadParameter("only printable ASCII characters", param_hint="--operator")
    query = {"of": zone} if hold is None else {"of": zone, "hold": hold}
    result = asyncio.run(session.client.call(name, query=query, key=operator.encode()))
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
