"""Errors that end a command."""

from typing import IO, Any

import click

from .exit_codes import ExitCode


class InvalidInputError(ValueError):
    """An argument or a file is invalid; the message names the field and the remedy."""


class CommandError(click.ClickException):
    """Ends the command with a message on standard error and the exit code of its class."""

    def show(self, file: IO[Any] | None = None) -> None:
        """Prints the message, which says what is wrong and what to do about it."""
        click.echo(f"rampfront: {self.message}", err=True)


class RejectedError(CommandError):
    """The system rejects an order, or a small system does not keep running."""

    exit_code = ExitCode.REJECTED


class UsageError(CommandError):
    """An argument or a file is invalid."""

    exit_code = ExitCode.USAGE


class NoAnswerError(CommandError):
    """No node gave a definite answer."""

    exit_code = ExitCode.NO_ANSWER
