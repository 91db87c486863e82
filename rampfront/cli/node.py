"""The commands of the edge node."""

from pathlib import Path
from typing import Annotated

import typer

from .common import EXIT_INVALID, fail

app = typer.Typer()


@app.command("serve")
def serve(
    config: Annotated[
        Path | None, typer.Option("--config", "-c", envvar="RELAY_CONFIG", help="TOML, or JSON in the platform's form.")
    ] = None,
) -> None:
    """Run one edge node. SIGHUP reads the configuration again, SIGTERM drains and ends with 0.

    Exit 2: the configuration is invalid, with the reason on standard error; 1: it cannot listen.
    """
    import os

    from ..edge.node import serve as run_node

    if config is None:
        fail("serve: --config, or RELAY_CONFIG, should name the configuration", EXIT_INVALID)
    os.environ["RELAY_CONFIG"] = str(config)
    raise typer.Exit(run_node())


@app.command("check-config")
def check_config(
    file: Annotated[Path | None, typer.Argument(help="TOML, or JSON in the platform's form.")] = None,
    reference: Annotated[bool, typer.Option("--reference", help="Print the reference page instead.")] = False,
) -> None:
    """Check a configuration: exit 0, or 2 with the line, the key and the reason."""
    import os

    from ..config import reference as reference_page
    from ..edge.configuration import load_configuration
    from ..edge.configuration_checks import ConfigurationError

    if reference:
        typer.echo(reference_page(), nl=False)
    elif file is None:
        fail("check-config: name a file", EXIT_INVALID)
    else:
        try:
            configuration = load_configuration({**os.environ, "RELAY_CONFIG": str(file)})
        except ConfigurationError as error:
            fail(error, EXIT_INVALID)
        host, port = configuration.listen_address
        typer.echo(
            f"{file}: {configuration.name} listens on {host}:{port}, "
            f"{len(configuration.terms.products)} products, {len(configuration.terms.plans)} plans"
        )


@app.command()
def version() -> None:
    """Print the version."""
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as version_of

    try:
        typer.echo(version_of("rampfront"))
    except PackageNotFoundError:
        import tomllib

        with open(Path(__file__).parents[2] / "pyproject.toml", "rb") as file:
            typer.echo(tomllib.load(file)["project"]["version"])
