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
    ChangeHistory,
    ChangeResult,
    CheckResult,
    CommandContext,
    FileFaults,
    read_text,
)
from cassialever.types import CatalogueVersion

#: How long a change may take to be in force, as the users ask, in seconds.
IN_FORCE_TIMEOUT_SECONDS: Final = 6
POLL_INTERVAL_SECONDS: Final = 0.2


class SubmitOptions(msgspec.Struct, frozen=True):
    """Why an operator makes a change, who it is, and whether to wait."""

    reason: str
    author: str = ''
    wait: bool = False

    def origin(self) -> Origin:
        """Return the origin of the change, made now."""
        author = self.author or getpass.getuser()
        return new_origin(author, self.reason, time.time())


def check(path: pathlib.Path) -> CheckResult | FileFaults:
    """Check a file whole."""
    catalogue = read_catalogue(path)
    if isinstance(catalogue, FileFaults):
        return catalogue
    return CheckResult(
        str(path),
        services=len(catalogue.services),
        targets=len(catalogue.targets),
        data_centres=len(catalogue.data_centres),
        callers=len(catalogue.callers),
    )


def read_catalogue(path: pathlib.Path) -> Catalogue | FileFaults:
    """Read and check a catalogue from a file."""
    text = read_text(path)
    if isinstance(text, FileFaults):
        return text
    catalogue = load_catalogue(text)
    if isinstance(catalogue, list):
        return FileFaults(str(path), tuple(catalogue))
    return catalogue


async def show(
    context: CommandContext, version: int | None
) -> Catalogue | Failure:
    """Return the catalogue of a version, or the present one."""
    if version is not None:
        return await context.store.catalogue_at(CatalogueVersion(version))
    stored = await context.store.current()
    return stored if isinstance(stored, Failure) else stored.catalogue


async def diff_file(
    context: CommandContext,
    path: pathlib.Path,
) -> CatalogueChange | FileFaults | Failure:
    """Return what applying a file would change."""
    proposed = read_catalogue(path)
    if isinstance(proposed, FileFaults):
        return proposed
    current = await show(context, None)
    if isinstance(current, Failure):
        return current
    return diff_catalogues(current, proposed)


async def diff_versions(
    context: CommandContext,
    old: int,
    new: int | None,
) -> CatalogueChange | Failure:
    """Return what differs between two versions."""
    before = await show(context, old)
    if isinstance(before, Failure):
        return before
    after = await show(context, new)
    if isinstance(after, Failure):
        return after
    return diff_catalogues(before, after)


async def apply_file(
    context: CommandContext,
    path: pathlib.Path,
    base: int,
    options: SubmitOptions,
) -> object:
    """Make a file the next version.

    The proposal is an edit of version `base`, or of the one that the file
    names; it conflicts where others have changed the catalogue since. Only
    the first catalogue of all needs neither.
    """
    proposed = read_catalogue(path)
    if isinstance(proposed, FileFaults):
        return proposed
    base_version = base or proposed.version
    if not base_version:
        current = await show(context, None)
        if isinstance(current, Failure):
            return current
        if current.version:
            return _no_base(current.version)
    outcome = await context.store.submit(
        proposed,
        CatalogueVersion(base_version),
        options.origin(),
    )
    return await _submitted(context, outcome, options)


async def make_edit(
    context: CommandContext, edit: Edit, options: SubmitOptions
) -> object:
    """Edit the present version."""
    outcome = await context.store.edit(edit, options.origin())
    return await _submitted(context, outcome, options)


async def revert(
    context: CommandContext, version: int, options: SubmitOptions
) -> object:
    """Make an earlier version's content the next version."""
    outcome = await context.store.revert(
        CatalogueVersion(version),
        options.origin(),
    )
    return await _submitted(context, outcome, options)


async def history(
    context: CommandContext, limit: int
) -> ChangeHistory | Failure:
    """Return the last changes."""
    current = await show(context, None)
    if isinstance(current, Failure):
        return current
    first = max(1, current.version - limit + 1)
    changes = await context.store.changes(
        CatalogueVersion(first),
        current.version,
    )
    if isinstance(changes, Failure):
        return changes
    return ChangeHistory(tuple(reversed(changes)))


def _no_base(version: CatalogueVersion) -> Failure:
    return Failure(
        ErrorKind.catalogue_invalid,
        'the file names no version, so that it could undo what others have'
        f' changed; the present version is {version}: look at `diff`, then'
        f' say --base {version}',
    )


async def _submitted(
    context: CommandContext, outcome: Outcome, options: SubmitOptions
) -> object:
    if not isinstance(outcome, Accepted):
        return outcome
    if not options.wait:
        return ChangeResult(change=outcome.change)
    instance = await _wait_in_force(context, outcome.change.version)
    if isinstance(instance, Failure):
        return ChangeResult(change=outcome.change, late_because=instance.reason)
    return ChangeResult(change=outcome.change, in_force=instance)


async def _wait_in_force(
    context: CommandContext,
    version: CatalogueVersion,
) -> str | Failure:
    """Wait until the daemon has the version; return the daemon's name."""
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        status = await context.daemon.status()
        if isinstance(status, Failure):
            return status
        if status.catalogue_version >= version:
            return status.instance_id
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return Failure(
        ErrorKind.deadline_passed,
        f'the daemon at {context.daemon.url} does not have it after'
        f' {IN_FORCE_TIMEOUT_SECONDS} s',
    )
