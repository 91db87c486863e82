"""The commands of the journal of once-only transactions."""

from datetime import UTC, datetime
from pathlib import Path
from types import ModuleType
from typing import TYPE_CHECKING, Annotated

import typer

from .common import EXIT_FAILED, EXIT_INVALID, fail

if TYPE_CHECKING:
    from ..journal.journal_reader import JournalContents

app = typer.Typer(
    help="The journal of once-only transactions: what was sent, where and when, and how it ended.", no_args_is_help=True
)
_NS_PER_S = 1e9
JournalFolder = Annotated[Path, typer.Argument(help="The journal's folder.", show_default=False)]


def read_journal(folder: Path) -> tuple[ModuleType, "JournalContents"]:
    """Returns the reader's module and the journal; ends the command if the folder has no journal."""
    from ..journal import journal_reader as reader
    from ..journal.segment_store import segment_paths

    if not segment_paths(folder):
        fail(f"{folder} holds no journal", EXIT_INVALID)
    return reader, reader.read_journal(folder)


@app.command("show")
def journal_show(folder: JournalFolder) -> None:
    """Every submission in order, the starts of the node, and what is damaged."""
    reader, contents = read_journal(folder)
    for start in contents.starts:
        typer.echo(f"{reader.format_time(start.at_ns)} start of {start.node}")
    for entry in contents.entries.values():
        typer.echo(entry.line())
    for line in contents.damage_lines():
        typer.echo(line)
    typer.echo(contents.summary())


@app.command("query")
def journal_query(  # noqa: PLR0913  # each parameter is an option of the command
    folder: JournalFolder,
    txn: Annotated[str, typer.Option("--id", help="X-Request-Id.")] = "",
    account: Annotated[str, typer.Option(help="An account's key.")] = "",
    server: Annotated[str, typer.Option("--server", "--box", help="An app server's id.")] = "",
    may_have_run: Annotated[
        bool, typer.Option("--may-have-run", "--doubt", help="Only submissions that may or may not have run.")
    ] = False,
    since: Annotated[datetime | None, typer.Option(help="From this time on, in UTC.")] = None,
    until: Annotated[datetime | None, typer.Option(help="Up to this time, in UTC.")] = None,
) -> None:
    """The submissions that match every option. Exit 1 if there is none."""
    reader, contents = read_journal(folder)
    rows = contents.select(reader.EntryFilter(txn, account, server, may_have_run, _unix_ns(since), _unix_ns(until)))
    for entry in rows:
        typer.echo(entry.line())
    raise typer.Exit(0 if rows else EXIT_FAILED)


def _unix_ns(moment: datetime | None) -> int | None:
    """Returns a time without a zone, taken as UTC, in ns since the epoch; None for None."""
    return int(moment.replace(tzinfo=UTC).timestamp() * _NS_PER_S) if moment else None


@app.command("verify")
def journal_verify(folder: JournalFolder) -> None:
    """Check every record. Exit 1 if one is damaged; torn or corrupt ones are named with file and offset."""
    _, contents = read_journal(folder)
    for line in contents.damage_lines():
        typer.echo(line)
    typer.echo(contents.summary())
    raise typer.Exit(EXIT_FAILED if contents.damage else 0)
