"""How requests are admitted once their routes are found."""

from collections.abc import Callable
from typing import Protocol, TypeAlias

from cassialever.fleet.model import Customer
from cassialever.gateway.refusals import Refusal
from cassialever.types import Seconds

#: Undoes the admission of a request that has not run.
UndoAdmission: TypeAlias = Callable[[], None]


class Admitter(Protocol):
    """Decides whether the requests of a customer may run now."""

    async def admit(
        self, customer: Customer | None, max_wait: Seconds
    ) -> UndoAdmission | Refusal:
        """Admit a request, which may wait that long, or refuse it."""

    def admit_repeat(self, customer: Customer | None) -> bool:
        """Return whether a request may run once more."""


class AdmitAll:
    """Admits every request, for a daemon that knows of no customers."""

    async def admit(
        self, customer: Customer | None, max_wait: Seconds
    ) -> UndoAdmission | Refusal:
        """Admit a request."""
        return undo_nothing

    def admit_repeat(self, customer: Customer | None) -> bool:
        """Admit a repeat."""
        return True


def undo_nothing() -> None:
    """Undo the admission of a request that used nothing up."""
