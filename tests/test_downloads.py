"""Tests of cassialever.downloads against the stand-in target."""

from cassialever.downloads import resumable_body
from cassialever.errors import ErrorKind, Failure
from cassialever.interfaces import TargetAnswer
from cassialever.types import Headers
from tests.test_targets import TargetCase, make_request, read


class TestDownloads(TargetCase):
    """Downloads that break off."""

    def setUp(self) -> None:
        """Make the download a long one."""
        self.long = bytes(range(256)) * 4_000
        self.fetched = 0

    async def fetch(self, headers: Headers) -> TargetAnswer | Failure:
        """Send the request once more."""
        self.fetched += 1
        if self.fetched > 5:
            return Failure(ErrorKind.target_busy, 'over the budget')
        return await self.send(path='/download', headers=headers)

    async def download(self, **fields: object) -> list[bytes | Failure]:
        """Read a download as far as it goes."""
        self.target.download.body = self.long
        request = make_request(path='/download', **fields)
        answer = await self.client.send(request, None)
        body = resumable_body(
            request.method, request.headers, answer, self.fetch
        )
        return await read(body)

    async def test_goes_on_where_it_broke(self) -> None:
        """Two breaks are not seen by the caller."""
        self.target.download.breaks = [300_000, 200_000]
        parts = await self.download()
        self.assertEqual(b''.join(parts), self.long)
        self.assertEqual(self.fetched, 2)

    async def test_changed_in_between(self) -> None:
        """Another body under the same path never completes this one."""
        original = self.fetch

        async def changed(headers: Headers) -> TargetAnswer | Failure:
            self.target.download.etag = '"2"'
            return await original(headers)

        self.fetch = changed
        for checks in (True, False):
            self.target.download.checks_if_range = checks
            self.target.download.etag = '"1"'
            self.target.download.breaks = [300_000]
            *parts, last = await self.download()
            self.assertIsInstance(last, Failure)
            self.assertEqual(last.kind, ErrorKind.answer_cut)
            self.assertTrue(self.long.startswith(b''.join(parts)))

    async def test_over_the_budget(self) -> None:
        """Without another try it breaks visibly."""
        self.target.download.breaks = [1_000] * 20
        *_, last = await self.download()
        self.assertEqual(last.kind, ErrorKind.answer_cut)
        self.assertEqual(self.fetched, 6)

    async def test_not_resumed(self) -> None:
        """A weak validator, a range or another method is no download."""
        self.target.download.etag = 'W/"1"'
        self.target.download.breaks = [1_000]
        *_, last = await self.download()
        self.assertEqual(last.kind, ErrorKind.answer_cut)
        self.target.download.etag = '"1"'
        for fields in (
            {'headers': (('Range', 'bytes=5-'), ('If-Range', '"1"'))},
            {'method': 'POST'},
        ):
            self.target.download.breaks = [1_000]
            *_, last = await self.download(**fields)
            self.assertEqual(last.kind, ErrorKind.answer_cut)
        self.assertEqual(self.fetched, 0)
