"""Commands that check, read and change the catalogue."""

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

#: The users require that a change is in force within this time.
IN_FORCE_TIMEOUT_SECONDS: Final = 6
POLL_INTERVAL_SECONDS: Final = 0.2


class SubmitOptions(msgspec.Struct, frozen=True):
    """Reason and author of a change, and whether to wait for it."""

    reason: str
    author: str = ''
    wait: bool = False

    def origin(self) -> Origin:
        """Return the origin of a change that is made now."""
        author = self.author or getpass.getuser()
        return new_origin(author, self.reason, time.time())


def check(path: pathlib.Path) -> CheckResult | FileFaults:
    """Check a file and count its entries."""
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
    """Read a catalogue file and validate it."""
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
    """Return the catalogue of a version, or the current one."""
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
    """Return the differences between two versions."""
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
    """Submit a file as the next version.

    The proposal is based on version `base`, or on the version in the file;
    it conflicts if that is no longer the current version. Only the very first
    catalogue needs neither.
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
            return _missing_base(current.version)
    outcome = await context.store.submit(
        proposed,
        CatalogueVersion(base_version),
        options.origin(),
    )
    return await _change_result(context, outcome, options)


async def make_edit(
    context: CommandContext, edit: Edit, options: SubmitOptions
) -> object:
    """Apply an edit to the current version."""
    outcome = await context.store.edit(edit, options.origin())
    return await _change_result(context, outcome, options)


async def revert(
    context: CommandContext, version: int, options: SubmitOptions
) -> object:
    """Submit the content of an earlier version as the next version."""
    outcome = await context.store.revert(
        CatalogueVersion(version),
        options.origin(),
    )
    return await _change_result(context, outcome, options)


async def history(
    context: CommandContext, limit: int
) -> ChangeHistory | Failure:
    """Return the latest changes, newest first."""
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


def _missing_base(version: CatalogueVersion) -> Failure:
    return Failure(
        ErrorKind.catalogue_invalid,
        'the file has no version, so applying it could undo changes by others;'
        f' the current version is {version}: review the output of `diff`,'
        f' then pass --base {version}',
    )


async def _change_result(
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
    """Wait until the daemon has the version; return its instance id."""
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
        f'the daemon at {context.daemon.url} does not have this version after'
        f' {IN_FORCE_TIMEOUT_SECONDS} s',
    )
