"""Takes over what may change in the settings file while the process runs: seeds, the platform's address, new zones."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from result import Err

from ..settings import settings_reader
from . import log_events

if TYPE_CHECKING:
    from ..membership.dissemination import Disseminator
    from ..proxy.request_proxy import RequestProxy
    from .context import NodeContext
    from .core_driver import CoreDriver
    from .server_list_service import ServerListService

SEC = 10**9
WATCH_INTERVAL_NS = 2 * SEC


class SettingsReloader:
    """Reads the file on SIGHUP, and when it has changed without a signal (PROTOCOL.md, "The operator")."""

    def __init__(
        self,
        context: NodeContext,
        disseminator: Disseminator,
        core: CoreDriver,
        server_list: ServerListService,
        request_proxy: RequestProxy,
    ) -> None:
        """Build it over the parts that take the new settings."""
        self._context = context
        self._disseminator = disseminator
        self._core = core
        self._server_list = server_list
        self._request_proxy = request_proxy
        self._file_version: tuple[int, int, int] | None = None  # time of change (ns), size, inode, when last looked at

    def watch(self, path: str) -> None:
        """Look at the file at `path` now and then, from now on."""
        self._context.scheduler.call_after(WATCH_INTERVAL_NS, self.watch, path)
        try:
            status = os.stat(path)
        except OSError:
            return
        previous = self._file_version
        self._file_version = (status.st_mtime_ns, status.st_size, status.st_ino)
        if previous and previous != self._file_version:
            self.reload(path)

    def reload(self, path: str) -> None:
        """Read the file at `path`. A faulty one is named in the log and changes nothing."""
        found = settings_reader.load(path)
        if isinstance(found, Err):
            self._context.log.record(log_events.SETTINGS_REJECTED, error=found.err_value)
            return
        new = found.ok_value
        seeds = [host for host, _ in new.seed_nodes]
        self._disseminator.set_seeds(seeds)
        self._core.change_seeds(seeds)
        if new.platform_address:
            self._server_list.move_platform(new.platform_address)
        # Only added to: other nodes may know a new zone by now, and one that is gone may yet be taken back.
        zones = self._context.process_settings.zones
        zones.update(new.zones)
        self._request_proxy.apply_zones(zones)
        self._context.log.record(log_events.SETTINGS_RELOADED)
