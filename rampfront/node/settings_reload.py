"""Applies the settings that may change while the process runs: seeds, the platform's address, new zones."""

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
    """Reloads the file on SIGHUP, and when it has changed without a signal (PROTOCOL.md, "The operator")."""

    def __init__(
        self,
        context: NodeContext,
        disseminator: Disseminator,
        core: CoreDriver,
        server_list: ServerListService,
        request_proxy: RequestProxy,
    ) -> None:
        """Build it with the parts that use the new settings."""
        self._context = context
        self._disseminator = disseminator
        self._core = core
        self._server_list = server_list
        self._request_proxy = request_proxy
        self._file_version: tuple[int, int, int] | None = (
            None  # modification time (ns), size and inode at the last check
        )

    def watch(self, path: str) -> None:
        """Check the file at `path` for changes now, and periodically from now on."""
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
        """Read the file at `path` and apply it. The error of an invalid file is logged, and nothing changes."""
        found = settings_reader.load(path)
        if isinstance(found, Err):
            self._context.log.record(log_events.SETTINGS_REJECTED, error=found.err_value)
            return
        new = found.ok_value
        seeds = [host for host, _ in new.seed_nodes]
        self._disseminator.set_seeds(seeds)
        self._core.change_seeds(seeds)
        if new.platform_address:
            self._server_list.change_platform_address(new.platform_address)
        # Zones are only added: other nodes may already use a new zone, and an evacuated zone that has been removed from
        # the file can still be restored.
        zones = self._context.process_settings.zones
        zones.update(new.zones)
        self._request_proxy.apply_zones(zones)
        self._context.log.record(log_events.SETTINGS_RELOADED)
