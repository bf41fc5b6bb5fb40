"""Read the body of an answer up to a limit."""

import aiohttp

from cassialever.platform.sessions import close_connection


class AnswerTooLongError(aiohttp.ClientPayloadError):
    """An answer is longer than a peer may make it."""


async def read_limited(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Read a body; close its connection and raise beyond `max_bytes`."""
    body = bytearray()
    while not response.content.at_eof():
        body += await response.content.readany()
        check_length(response, len(body), max_bytes)
    return bytes(body)


def check_length(
    response: aiohttp.ClientResponse, length: int, max_bytes: int
) -> None:
    """Close the connection of an answer and raise if it is too long."""
    if length <= max_bytes:
        return
    close_connection(response)
    raise AnswerTooLongError(f'the answer is longer than {max_bytes} bytes')
