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
from tests.helpers import make_catalogue

REQUEST_ID = RequestId('request-1')


def raw(path: str, body_length: int = 0, **headers: str) -> RawRequest:
    """Return a raw request; underscores in header names become dashes."""
    by_name = {
        f'X-Cassialever-{name.replace("_", "-")}': header
        for name, header in headers.items()
    }
    return RawRequest(
        'GET', path, '', by_name, tuple(by_name.items()), body_length
    )


class TestParseRequest(unittest.TestCase):
    """Which requests are refused, and with which error kind."""

    def setUp(self) -> None:
        """Index a small catalogue."""
        self.index = CatalogueIndex(make_catalogue())

    def kind_of(self, request: RawRequest) -> ErrorKind | None:
        """Return the error kind of a request; `None` if it is valid."""
        parsed = parse_request(request, self.index, REQUEST_ID)
        return parsed.kind if isinstance(parsed, Failure) else None

    def test_refusals(self) -> None:
        """Each kind of invalid input has its own error kind."""
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

    def test_valid_request(self) -> None:
        """A valid request keeps its key, deadline and retryability."""
        parsed = parse_request(
            raw('/registry/1', Key='k', Deadline_Ms='500'),
            self.index,
            REQUEST_ID,
        )
        assert isinstance(parsed, ParsedRequest)
        self.assertEqual(parsed.timeout_ms, 500)
        self.assertEqual(parsed.key, 'k')
        self.assertTrue(parsed.is_retryable)

    def test_request_ids_are_checked(self) -> None:
        """A caller's request id must have an allowed length and characters."""
        for given in ('short', 'x' * 65, 'line\nbreak1', 'spa ce spa ce'):
            with self.subTest(given=given):
                outcome = request_id_of(raw('/', Request_Id=given))
                self.assertIsInstance(outcome, Failure)
