"""The newest version of the store that its answers have told."""

from typing import Final

from cassialever.types import RowVersion

#: Reads in a row that are below what was told before they were sent, after
#: which that counts as false.
DENIALS: Final = 2


class NewestVersion:
    """A version that the answers to all calls sent from now on are not below.

    The store's answers are linearizable. Those to calls that were sent before
    it was told may be below it.
    """

    def __init__(self) -> None:
        """Start with no version told."""
        self.told = RowVersion(0)
        self._denials = 0

    def note(self, version: RowVersion) -> None:
        """Note the version that an answer tells."""
        self.told = max(self.told, version)

    def note_read(self, version: RowVersion, told_before: RowVersion) -> None:
        """Note that of a read, and what was told when it was sent."""
        is_denial = version < told_before
        self._denials = self._denials + 1 if is_denial else 0
        if self._denials >= DENIALS:
            self._denials = 0
            self.told = version
        self.note(version)
