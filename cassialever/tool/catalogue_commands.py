"""Commands that read or change the catalogue in the table."""

import asyncio
import getpass
import pathlib
import time
from typing import Final

import msgspec

from cassialever.catalogue.changes import (
    CatalogueChange,
    Origin,
    diff_catalogues,
)
from cassialever.catalogue.check import load_catalogue
from cassialever.catalogue.entries import Catalogue
from cassialever.catalogue.store import (
    Accepted,
    Edit,
    Outcome,
    new_origin,
)
from cassialever.errors import ErrorKind, Failure
from cassialever.tool.context import (
    Checked,
    Faults,
    History,
    Made,
    Tool,
    read_text,
)
from cassialever.types import CatalogueVersion

#: How long a change may take to be in force, as the users ask, in seconds.
IN_FORCE_SECONDS: Final = 6
POLL_SECONDS: Final = 0.2


class Purpose(msgspec.Struct, frozen=True):
    """Why an operator makes a change, who it is, and whether to wait."""

    reason: str
    author: str = ''
    wait: bool = False

    def origin(self) -> Origin:
        """Return the origin of the change, made now."""
        author = self.author or getpass.getuser()
        return new_origin(author, self.reason, time.time())


def check(path: pathlib.Path) -> Checked | Faults:
    """Check a file whole."""
    catalogue = read_catalogue(path)
    if isinstance(catalogue, Faults):
        return catalogue
    return Checked(
        str(path),
        services=len(catalogue.services),
        targets=len(catalogue.targets),
        data_centres=len(catalogue.data_centres),
        callers=len(catalogue.callers),
    )


def read_catalogue(path: pathlib.Path) -> Catalogue | Faults:
    """Read and check a catalogue from a file."""
    text = read_text(path)
    if isinstance(text, Faults):
        return text
    catalogue = load_catalogue(text)
    if isinstance(catalogue, list):
        return Faults(str(path), tuple(catalogue))
    return catalogue


async def show(tool: Tool, version: int | None) -> Catalogue | Failure:
    """Return the catalogue of a version, or the present one."""
    if version is not None:
        return await tool.store.catalogue_at(CatalogueVersion(version))
    stored = await tool.store.current()
    return stored if isinstance(stored, Failure) else stored.catalogue


async def diff_file(
    tool: Tool,
    path: pathlib.Path,
) -> CatalogueChange | Faults | Failure:
    """Return what applying a file would change."""
    proposed = read_catalogue(path)
    if isinstance(proposed, Faults):
        return proposed
    current = await show(tool, None)
    if isinstance(current, Failure):
        return current
    return diff_catalogues(current, proposed)


async def diff_versions(
    tool: Tool,
    old: int,
    new: int | None,
) -> CatalogueChange | Failure:
    """Return what differs between two versions."""
    before = await show(tool, old)
    if isinstance(before, Failure):
        return before
    after = await show(tool, new)
    if isinstance(after, Failure):
        return after
    return diff_catalogues(before, after)


async def apply_file(
    tool: Tool,
    path: pathlib.Path,
    base: int,
    purpose: Purpose,
) -> object:
    """Make a file the next version.

    The proposal is an edit of version `base`, or of the one that the file
    names; it conflicts where others have changed the catalogue since. Only
    the first catalogue of all needs neither.
    """
    proposed = read_catalogue(path)
    if isinstance(proposed, Faults):
        return proposed
    named = base or proposed.version
    if not named:
        current = await show(tool, None)
        if isinstance(current, Failure):
            return current
        if current.version:
            return _no_base(current.version)
    outcome = await tool.store.submit(
        proposed,
        CatalogueVersion(named),
        purpose.origin(),
    )
    return await _finished(tool, outcome, purpose)


async def make_edit(tool: Tool, edit: Edit, purpose: Purpose) -> object:
    """Edit the present version."""
    outcome = await tool.store.edit(edit, purpose.origin())
    return await _finished(tool, outcome, purpose)


async def revert(tool: Tool, version: int, purpose: Purpose) -> object:
    """Make an earlier version's content the next version."""
    outcome = await tool.store.revert(
        CatalogueVersion(version),
        purpose.origin(),
    )
    return await _finished(tool, outcome, purpose)


async def history(tool: Tool, limit: int) -> History | Failure:
    """Return the last changes."""
    current = await show(tool, None)
    if isinstance(current, Failure):
        return current
    first = max(1, current.version - limit + 1)
    changes = await tool.store.changes(
        CatalogueVersion(first),
        current.version,
    )
    if isinstance(changes, Failure):
        return changes
    return History(tuple(reversed(changes)))


def _no_base(version: CatalogueVersion) -> Failure:
    return Failure(
        ErrorKind.catalogue_invalid,
        'the file names no version, so that it could undo what others have'
        f' changed; the present version is {version}: look at `diff`, then'
        f' say --base {version}',
    )


async def _finished(tool: Tool, outcome: Outcome, purpose: Purpose) -> object:
    if not isinstance(outcome, Accepted):
        return outcome
    if not purpose.wait:
        return Made(change=outcome.change)
    waited = await _wait_in_force(tool, outcome.change.version)
    if isinstance(waited, Failure):
        return Made(change=outcome.change, late_because=waited.reason)
    return Made(change=outcome.change, in_force=waited)


async def _wait_in_force(
    tool: Tool,
    version: CatalogueVersion,
) -> str | Failure:
    """Wait until the daemon has the version; return the daemon's name."""
    deadline = time.monotonic() + IN_FORCE_SECONDS
    while time.monotonic() < deadline:
        status = await tool.daemon.status()
        if isinstance(status, Failure):
            return status
        if status.catalogue_version >= version:
            return status.instance_id
        await asyncio.sleep(POLL_SECONDS)
    return Failure(
        ErrorKind.deadline_passed,
        f'the daemon at {tool.daemon.url} does not have it after'
        f' {IN_FORCE_SECONDS} s',
    )
