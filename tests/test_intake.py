"""Tests of cassialever.callers.intake."""

import unittest

from cassialever.callers.intake import (
    ParsedRequest,
    RawRequest,
    parse_request,
    request_id_of,
)
from cassialever.catalogue.entries import CatalogueIndex
from cassialever.errors import ErrorKind, Failure
from cassialever.types import RequestId
from tests.helpers import small_catalogue

ID = RequestId('request-1')


def raw(path: str, body_length: int = 0, **headers: str) -> RawRequest:
    """Make a request; header names have underscores for dashes."""
    by_name = {
        f'X-Cassialever-{name.replace("_", "-")}': header
        for name, header in headers.items()
    }
    return RawRequest(
        'GET', path, '', by_name, tuple(by_name.items()), body_length
    )


class TestReadRequest(unittest.TestCase):
    """What is refused, and as what."""

    def setUp(self) -> None:
        """Index a small catalogue."""
        self.index = CatalogueIndex(small_catalogue())

    def kind_of(self, request: RawRequest) -> ErrorKind | None:
        """Return the error kind, or None for a request that is fit."""
        parsed = parse_request(request, self.index, ID)
        return parsed.kind if isinstance(parsed, Failure) else None

    def test_refusals(self) -> None:
        """Each kind of bad input has its own answer."""
        for expected, request in (
            (ErrorKind.unknown_service, raw('/nothing/1', Key='k')),
            (ErrorKind.unknown_service, raw('/')),
            (ErrorKind.missing_key, raw('/registry/1')),
            (ErrorKind.key_too_long, raw('/registry/1', Key='k' * 257)),
            (
                ErrorKind.malformed_deadline,
                raw('/registry/1', Key='k', Deadline_Ms='-5'),
            ),
            (
                ErrorKind.malformed_deadline,
                raw('/registry/1', Key='k', Deadline_Ms='٣'),
            ),
            (
                ErrorKind.body_too_large,
                raw('/registry/1', 2_000_000, Key='k'),
            ),
        ):
            with self.subTest(expected=expected, path=request.path):
                self.assertEqual(self.kind_of(request), expected)

    def test_whole_request(self) -> None:
        """A good request keeps its key, deadline and service."""
        parsed = parse_request(
            raw('/registry/1', Key='k', Deadline_Ms='500'),
            self.index,
            ID,
        )
        assert isinstance(parsed, ParsedRequest)
        self.assertEqual(parsed.timeout_ms, 500)
        self.assertEqual(parsed.key, 'k')
        self.assertTrue(parsed.is_retryable)

    def test_request_ids_are_checked(self) -> None:
        """A request id from outside can't carry anything strange."""
        for given in ('short', 'x' * 65, 'line\nbreak1', 'spa ce spa ce'):
            with self.subTest(given=given):
                answer = request_id_of(raw('/', Request_Id=given))
                self.assertIsInstance(answer, Failure)
