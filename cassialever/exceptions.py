"""Exceptions for faults in the program or in its configuration.

Errors of requests and of external systems are returned as `Failure` values
instead: see `cassialever.errors`.
"""


class CassialeverError(Exception):
    """Base class of the exceptions that this package raises."""


class SettingsError(CassialeverError):
    """The settings file can't be used."""


class InvariantError(CassialeverError):
    """An invariant was violated."""
