"""Send requests to a daemon on the platform, for tests."""

import aiohttp

from cassialever.gateway.application import Gateway
from tests.fleet_helpers import (
    until,
)

LOOKUP_HEADERS = {
    'Host': 'registry.example',
    'Shard-Key': '7',
    'Deadline-Ms': '2000',
}
ISSUE_HEADERS = {'Host': 'issuance.example', 'Deadline-Ms': '2500'}


async def send_request(
    gateway: Gateway,
    path: str,
    headers: dict[str, str],
    request_id: str = 'a1',
    **options,
) -> aiohttp.ClientResponse:
    """Send one request on a new connection and read its body."""
    async with aiohttp.ClientSession() as session:
        url = f'http://{gateway.settings.listen.callers}{path}'
        method = options.pop('method', 'GET')
        async with session.request(
            method,
            url,
            headers={**headers, 'Attempt-Id': request_id},
            **options,
        ) as response:
            await response.read()
            return response


async def readiness_status(gateway: Gateway) -> int:
    async with aiohttp.ClientSession() as session:
        address = gateway.settings.listen.readiness
        async with session.get(
            f'http://{address}/cassialever/readyz'
        ) as response:
            return response.status


async def wait_for_keys(gateway: Gateway) -> None:
    """Wait until every key has an owner and none is moving."""
    await until(lambda: 'registry' in gateway.view.keys_by_service)
    await until(lambda: not gateway.view.moving_by_service.get('registry'))
