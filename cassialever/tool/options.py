"""Options that several commands of the tool share."""

import pathlib
from dataclasses import asdict, dataclass
from typing import Annotated, TypeAlias

from cyclopts import Parameter

from cassialever.operators.decisions import Question

Switch: TypeAlias = Annotated[bool, Parameter(negative='')]


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class OutputOptions:
    """How a result is printed.

    Parameters
    ----------
    json
        Print JSON for programs in place of tables for people.
    """

    json: Switch = False


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class ConnectionOptions(OutputOptions):
    """How the table and a daemon are reached.

    Parameters
    ----------
    settings
        A daemon's settings file; it names the table and the credential.
    daemon
        URL of another daemon's operator endpoint, such as
        http://127.0.0.1:8082.
    """

    settings: Annotated[
        pathlib.Path,
        Parameter(env_var='CASSIALEVER_SETTINGS'),
    ] = pathlib.Path('cassialever.settings.jsonc')
    daemon: str = ''


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class ChangeOptions(ConnectionOptions):
    """Who changes the catalogue, and why.

    Parameters
    ----------
    reason
        Why, in words that a manager can read; kept with the change.
    author
        Who; the name of the account is taken where none is given.
    wait
        Wait until the daemon has the change in force.
    """

    reason: str
    author: str = ''
    wait: Switch = False


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class ExplainOptions:
    """What to explain; every option given narrows the answer.

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

    def question(self) -> Question:
        """Return the question that a daemon understands."""
        return Question(**asdict(self))


#: What is explained where nothing is asked: the last decisions.
DEFAULT_EXPLAIN = ExplainOptions()
#: How results are printed where nothing else is said.
DEFAULT_OUTPUT = OutputOptions()
#: How the fleet is reached where nothing else is said.
DEFAULT_CONNECTION = ConnectionOptions()
