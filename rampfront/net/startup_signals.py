"""Signals that reach a process while it starts. By their default action SIGHUP and SIGUSR1 would end it."""

import signal


class StartupSignals:
    """Catches these signals from its creation until the program connects its own handlers.

    Attributes:
        reload_requested: whether SIGHUP came; the settings may have been read before it.
    """

    def __init__(self) -> None:
        """Connects the handlers; call it before the settings are read."""
        self.reload_requested = False
        signal.signal(signal.SIGHUP, self._note_reload)
        signal.signal(signal.SIGUSR1, signal.SIG_IGN)  # there are no counters to print yet

    def _note_reload(self, *_: object) -> None:
        """Called on SIGHUP."""
        self.reload_requested = True
