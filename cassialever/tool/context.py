"""What commands share: settings, store, daemon, and types of results."""

import pathlib
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import msgspec
from rich.console import Console

from cassialever.catalogue.changes import CatalogueChange
from cassialever.catalogue.store import CatalogueStore
from cassialever.catalogue.table import CatalogueTable
from cassialever.documents.document import Fault
from cassialever.operators.client import OperatorClient
from cassialever.platform.store import StoreClient
from cassialever.settings import Settings, load_settings, store_address


class FileFaults(msgspec.Struct, frozen=True):
    """The faults of a file that can't be used."""

    file: str
    faults: tuple[Fault, ...]


class CheckResult(msgspec.Struct, frozen=True):
    """The numbers of entries of a valid catalogue."""

    file: str
    services: int
    targets: int
    data_centres: int
    callers: int


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """A change that was accepted.

    `in_force` is the instance that is known to have the change,
    `late_because` the reason why that could not be confirmed.
    """

    change: CatalogueChange
    in_force: str = ''
    late_because: str = ''


class ChangeHistory(msgspec.Struct, frozen=True):
    """Changes, newest first."""

    changes: tuple[CatalogueChange, ...]


class CommandContext:
    """The clients that a running command uses for the store and a daemon."""

    def __init__(self, settings: Settings, daemon_url: str = '') -> None:
        """Create the clients; an empty URL selects the instance in settings."""
        self.settings = settings
        self._client = StoreClient(store_address(settings))
        self.store = CatalogueStore(CatalogueTable(self._client))
        self.daemon = OperatorClient(settings, daemon_url)
        self.progress = Console(stderr=True)

    async def start(self) -> None:
        """Open the client sessions."""
        await self._client.start()
        await self.daemon.start()

    async def stop(self) -> None:
        """Close the client sessions."""
        await self.daemon.stop()
        await self._client.stop()


Command: TypeAlias = Callable[[CommandContext], Awaitable[object]]


async def run_with_context(
    settings_path: pathlib.Path,
    daemon_url: str,
    message: str,
    command: Command,
) -> object:
    """Run a command and return its result.

    A message, unless empty, is shown with a spinner meanwhile.
    """
    settings = read_settings_file(settings_path)
    if isinstance(settings, FileFaults):
        return settings
    context = CommandContext(settings, daemon_url)
    await context.start()
    try:
        return await _run_with_progress(context, message, command)
    finally:
        await context.stop()


async def _run_with_progress(
    context: CommandContext, message: str, command: Command
) -> object:
    if not message:
        return await command(context)
    with context.progress.status(message):
        return await command(context)


def read_settings_file(path: pathlib.Path) -> Settings | FileFaults:
    """Read a settings file and validate it."""
    text = read_text(path)
    if isinstance(text, FileFaults):
        return text
    settings = load_settings(text)
    if isinstance(settings, list):
        return FileFaults(str(path), tuple(settings))
    return settings


def read_text(path: pathlib.Path) -> str | FileFaults:
    """Read a text file; a read error becomes a fault at line 1."""
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = f'The file cannot be read: {error}.'
        return FileFaults(str(path), (Fault(1, 1, reason),))
