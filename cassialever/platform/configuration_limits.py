"""The ranges of numbers and texts in the operators' configuration.

One fault rejects a configuration whole, so that they are wide: they keep out
what this program can't work with, and judge nothing.
"""

from typing import Annotated, Final, TypeAlias

from msgspec import Meta

from cassialever.platform.entry_limits import MAX_INTEGER
from cassialever.types import MS_PER_SECOND, Seconds

#: Longest time limit, objective and cold start: a day.
MAX_TIME: Final[Seconds] = 86_400
#: Most targets to which one request may be sent.
MAX_ATTEMPTS: Final = 1000
#: Most connections to one target.
MAX_CONNECTIONS: Final = 1_000_000
#: Highest rate for a cold target, in requests per second.
MAX_RATE: Final = 1_000_000
#: Highest weight of a service in a split; weights are added up.
MAX_WEIGHT: Final = 1e9
#: Most keys of all customers, and the longest key, in characters.
MAX_CREDENTIALS: Final = 100_000
MAX_CREDENTIAL_LENGTH: Final = 1024
#: Longest name of a host, in characters.
MAX_HOST_LENGTH: Final = 253

Milliseconds: TypeAlias = Annotated[
    float, Meta(ge=0, le=MAX_TIME * MS_PER_SECOND)
]
WarmUpSeconds: TypeAlias = Annotated[float, Meta(ge=0, le=MAX_TIME)]
Rank: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Attempts: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_ATTEMPTS)]
Connections: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_CONNECTIONS)]
RequestRate: TypeAlias = Annotated[float, Meta(ge=0, le=MAX_RATE)]
#: Weights may all be 0: the first service gets all requests then.
Weight: TypeAlias = Annotated[float, Meta(ge=0, le=MAX_WEIGHT)]
ByteCount: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Credential: TypeAlias = Annotated[
    str, Meta(min_length=1, max_length=MAX_CREDENTIAL_LENGTH)
]
HostName: TypeAlias = Annotated[str, Meta(max_length=MAX_HOST_LENGTH)]
