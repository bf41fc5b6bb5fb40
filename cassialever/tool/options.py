"""Command-line options that several commands share."""

import pathlib
from dataclasses import asdict, dataclass
from typing import Annotated, TypeAlias

from cyclopts import Parameter

from cassialever.operators.decisions import DecisionQuery

Switch: TypeAlias = Annotated[bool, Parameter(negative='')]


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class OutputOptions:
    """How a result is printed.

    Parameters
    ----------
    json
        Print JSON instead of tables.
    """

    json: Switch = False


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class ConnectionOptions(OutputOptions):
    """How to connect to the platform's store and a daemon.

    Parameters
    ----------
    settings
        A daemon's settings file, with the store's URL and the credential.
    daemon
        URL of a daemon's operator endpoint, for example
        http://127.0.0.1:8082; that of the settings file by default.
    """

    settings: Annotated[
        pathlib.Path,
        Parameter(env_var='CASSIALEVER_SETTINGS'),
    ] = pathlib.Path('cassialever.settings.jsonc')
    daemon: str = ''


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class ChangeOptions(ConnectionOptions):
    """Author and reason of a change to the catalogue.

    Parameters
    ----------
    reason
        Reason for the change, in words a manager understands; stored
        with it.
    author
        Author of the change; the current user by default.
    wait
        Wait until the change is in force on the daemon.
    """

    reason: str
    author: str = ''
    wait: Switch = False


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class ExplainOptions:
    """Filters for the decisions to explain.

    Parameters
    ----------
    request_id
        A request, by the id in its answer.
    key
        A key.
    target
        A target, by its name in the catalogue.
    data_centre
        A data centre, by its name in the catalogue.
    refusal
        An error kind, such as target_busy.
    entry
        A catalogue entry, such as target/registry-01.
    """

    request_id: str = ''
    key: str = ''
    target: str = ''
    data_centre: str = ''
    refusal: str = ''
    entry: str = ''

    def query(self) -> DecisionQuery:
        """Return the query for the daemon."""
        return DecisionQuery(**asdict(self))


#: Without filters, the latest decisions are explained.
DEFAULT_EXPLAIN = ExplainOptions()
DEFAULT_OUTPUT = OutputOptions()
DEFAULT_CONNECTION = ConnectionOptions()
