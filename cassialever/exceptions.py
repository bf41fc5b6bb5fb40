"""Exceptions for faults in the program or in its configuration.

Errors of requests and of external systems are returned as `Failure` values
instead: see `cassialever.errors`.
"""


class CassialeverError(Exception):
    """Base class of the exceptions that this package raises."""


class SettingsError(CassialeverError):
    """The settings file can't be used."""


class ListenError(CassialeverError):
    """A daemon can't listen on a port that it needs."""


class InvariantError(CassialeverError):
    """An invariant was violated."""
