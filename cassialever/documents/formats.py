"""Annotated types for fields that operators write: units and formats."""

import enum
import ipaddress
import re
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Annotated, Final, TypeAlias
from urllib.parse import SplitResult, urlsplit

from msgspec import Meta

from cassialever.types import Seconds

#: Keys of `Meta.extra`, where annotations keep what msgspec does not check.
UNIT: Final = 'unit'
FORMAT: Final = 'format'
SECRET: Final = 'secret'

MAX_PORT: Final = 65_535
MAX_NAME_LENGTH: Final = 64
MAX_DURATION_SECONDS: Final = 600
MAX_DURATION_MS: Final = 3_600_000
MIN_SECRET_LENGTH: Final = 16

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')
_HEADER = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")


class Format(enum.Enum):
    """Formats that a string field can require."""

    name = 'name'
    header = 'header'
    ip_address = 'ip_address'
    ip_and_port = 'ip_and_port'
    base_url = 'base_url'
    optional_url = 'optional_url'


def find_format_fault(text_format: Format | None, text: str) -> str:
    """Return a sentence on what is wrong with a text, or an empty string."""
    if text_format is None or _PREDICATE_BY_FORMAT[text_format](text):
        return ''
    return f'Expected {_DESCRIPTION_BY_FORMAT[text_format]}.'


def _is_name(text: str) -> bool:
    return len(text) <= MAX_NAME_LENGTH and bool(_NAME.fullmatch(text))


def _is_header(text: str) -> bool:
    return len(text) <= MAX_NAME_LENGTH and bool(_HEADER.fullmatch(text))


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_ip_and_port(text: str) -> bool:
    host, _, port = text.rpartition(':')
    if not port.isascii() or not port.isdigit():
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    # An IPv6 address has to be in brackets, an IPv4 address must not be.
    address = host.removeprefix('[').removesuffix(']')
    return _is_ip(address) and (':' in address) == (address != host)


def _is_base_url(text: str) -> bool:
    try:
        return _has_ip_host(urlsplit(text))
    except ValueError:
        return False


def _has_ip_host(parts: SplitResult) -> bool:
    if parts.scheme not in {'http', 'https'}:
        return False
    if parts.port == 0 or parts.username is not None:
        return False
    return _is_ip(parts.hostname or '')


def _is_optional_url(text: str) -> bool:
    return not text or _is_base_url(text)


_Predicate: TypeAlias = Callable[[str], bool]
_PREDICATE_BY_FORMAT: Final[Mapping[Format, _Predicate]] = MappingProxyType(
    {
        Format.name: _is_name,
        Format.header: _is_header,
        Format.ip_address: _is_ip,
        Format.ip_and_port: _is_ip_and_port,
        Format.base_url: _is_base_url,
        Format.optional_url: _is_optional_url,
    }
)
_DESCRIPTION_BY_FORMAT: Final[Mapping[Format, str]] = MappingProxyType(
    {
        Format.name: (
            'a name of at most 64 letters, digits, dots, dashes and underscores'
        ),
        Format.header: 'a header name, such as X-Certificate',
        Format.ip_address: 'an IP address, such as 10.0.0.1',
        Format.ip_and_port: 'an IP address and a port, such as 10.0.0.1:8080',
        Format.base_url: (
            'a URL with an IP address, such as http://10.0.0.1:9000'
        ),
        Format.optional_url: (
            'a URL with an IP address, such as http://10.0.0.1:4318, or an'
            ' empty string'
        ),
    }
)

#: The format of names and ids in the settings and the catalogue.
NAME: Final = Meta(extra={FORMAT: Format.name})
#: The format of a header name.
HEADER: Final = Meta(extra={FORMAT: Format.header})

Port: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_PORT)]
PositiveInt: TypeAlias = Annotated[int, Meta(ge=1)]
NonNegativeInt: TypeAlias = Annotated[int, Meta(ge=0)]
Fraction: TypeAlias = Annotated[float, Meta(ge=0, le=1)]
ByteCount: TypeAlias = Annotated[int, Meta(ge=1, extra={UNIT: 'bytes'})]
Milliseconds: TypeAlias = Annotated[
    int,
    Meta(ge=1, le=MAX_DURATION_MS, extra={UNIT: 'milliseconds'}),
]
PositiveSeconds: TypeAlias = Annotated[
    Seconds,
    Meta(gt=0, le=MAX_DURATION_SECONDS, extra={UNIT: 'seconds'}),
]
NonNegativeSeconds: TypeAlias = Annotated[
    Seconds,
    Meta(ge=0, le=MAX_DURATION_SECONDS, extra={UNIT: 'seconds'}),
]
NonEmptyString: TypeAlias = Annotated[str, Meta(min_length=1)]
IpAddress: TypeAlias = Annotated[str, Meta(extra={FORMAT: Format.ip_address})]
IpAndPort: TypeAlias = Annotated[
    str,
    Meta(extra={FORMAT: Format.ip_and_port}),
]
BaseUrl: TypeAlias = Annotated[str, Meta(extra={FORMAT: Format.base_url})]
OptionalUrl: TypeAlias = Annotated[
    str,
    Meta(extra={FORMAT: Format.optional_url}),
]
Secret: TypeAlias = Annotated[
    str,
    Meta(min_length=MIN_SECRET_LENGTH, extra={SECRET: True}),
]
