"""What the commands of the tool share: settings, table, daemon, progress."""

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
    """A file that can't be used, and why."""

    file: str
    faults: tuple[Fault, ...]


class CheckResult(msgspec.Struct, frozen=True):
    """A catalogue without a fault, and how many entries it has."""

    file: str
    services: int
    targets: int
    data_centres: int
    callers: int


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """A change that was accepted.

    `in_force` is the instance where it was awaited, `late_because` why it is
    not known to be in force there.
    """

    change: CatalogueChange
    in_force: str = ''
    late_because: str = ''


class ChangeHistory(msgspec.Struct, frozen=True):
    """Changes, the newest first."""

    changes: tuple[CatalogueChange, ...]


class CommandContext:
    """The way to the table and to one daemon, while a command runs."""

    def __init__(self, settings: Settings, daemon_url: str = '') -> None:
        """Take the settings; an empty URL is that of their instance."""
        self.settings = settings
        self._client = StoreClient(store_address(settings))
        self.store = CatalogueStore(CatalogueTable(self._client))
        self.daemon = OperatorClient(settings, daemon_url)
        self.progress = Console(stderr=True)

    async def start(self) -> None:
        """Open the sessions."""
        await self._client.start()
        await self.daemon.start()

    async def stop(self) -> None:
        """Close the sessions."""
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

    Where a message is given, people see it with a sign that work goes on.
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
    """Read settings from a file."""
    text = read_text(path)
    if isinstance(text, FileFaults):
        return text
    settings = load_settings(text)
    if isinstance(settings, list):
        return FileFaults(str(path), tuple(settings))
    return settings


def read_text(path: pathlib.Path) -> str | FileFaults:
    """Read a file; what can't be read is a fault at its start."""
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = f'The file cannot be read: {error}.'
        return FileFaults(str(path), (Fault(1, 1, reason),))
