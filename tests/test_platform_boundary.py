"""Test that only the adapter uses the platform's names."""

import pathlib
import re
import unittest

import cassialever

#: Headers, paths, tables and fields of the platform.
PLATFORM_NAMES = re.compile(
    'Attempt-Id|(?<!-)Deadline-Ms|Expect-Instance|Not-Executed|Response-Seal|'
    'Shard-Key|Instance-Load|warmup_left_ms|warmup_per_s|traffic_split|'
    'route_type|target_latency_ms|hold_ms|rows-tx|rows-get|rows-feed|'
    "'servers'|'op'|evacuate/|/cassialever/",
)


class BoundaryTest(unittest.TestCase):
    """No module outside the adapter contains a name of the platform."""

    def test_no_module_outside_adapter_uses_platform_names(self) -> None:
        package = pathlib.Path(cassialever.__file__).parent
        for path in package.rglob('*.py'):
            name = path.relative_to(package)
            if name.parts[0] == 'platform':
                continue
            with self.subTest(module=str(name)):
                self.assertIsNone(PLATFORM_NAMES.search(path.read_text()))
