"""The paths that `bench.hops` compares, all in this process."""

from aiohttp import ClientSession, web

from cassialever.catalogue import (
    DEFAULT_CALLER,
    CallerEntry,
    CallerLimits,
    Catalogue,
    CatalogueIndex,
    DataCentreEntry,
    ServiceEntry,
    TargetEntry,
    TargetLimits,
)
from cassialever.clock import SystemClock, seeded_random
from cassialever.dialling import PeerAddress
from cassialever.leases import TargetLease
from cassialever.misc import ServerSite
from cassialever.ownership import Ownership
from cassialever.request_path import RequestPath
from cassialever.routing import RoutingMap
from cassialever.settings import (
    InstanceSettings,
    PlatformSettings,
    SecuritySettings,
    Settings,
)
from cassialever.telemetry import Telemetry
from cassialever.types import (
    CatalogueVersion,
    DataCentreId,
    Epoch,
    Fence,
    Incarnation,
    InstanceId,
    RoutingClass,
    ServiceName,
    TargetId,
)

LOOPBACK = '127.0.0.1'
DATA_CENTRE = DataCentreId('dc')
SERVICE = ServiceName('library')
TARGET = TargetId('library-1')
HOLDER = InstanceId('b')
OTHER = InstanceId('a')
PLENTY = 1_000_000
BODY = b'x' * 512


class BarePass:
    """A pass-through of aiohttp alone, which does nothing else."""

    def __init__(self, base_url: str) -> None:
        """Pass all requests on to a base URL."""
        self._base_url = base_url
        self._session = ClientSession(auto_decompress=False)
        self._site = ServerSite(web.Server(self._serve))

    async def start(self) -> str:
        """Listen and return the base URL."""
        return await self._site.start(LOOPBACK, 0)

    async def stop(self) -> None:
        """Stop."""
        await self._site.stop()
        await self._session.close()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = request.headers.copy()
        headers.pop('Host')
        url = f'{self._base_url}{request.path_qs}'
        async with self._session.request(
            request.method,
            url,
            headers=headers,
        ) as answer:
            response = web.StreamResponse(
                status=answer.status,
                headers=answer.headers,
            )
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response


class Paths:
    """Target, two pass-throughs and two daemons."""

    def __init__(self) -> None:
        """Make the target; the others need its address."""
        self._target = ServerSite(web.Server(_answer))
        self._passes: list[BarePass] = []
        self._daemons: list[RequestPath] = []

    async def start(self) -> dict[str, str]:
        """Start everything and return the URL of each path."""
        target = await self._target.start(LOOPBACK, 0)
        first = await self._add_pass(target)
        second = await self._add_pass(first)
        index = _index(target.removeprefix('http://'))
        holder = await self._add_daemon(HOLDER, index)
        other = await self._add_daemon(OTHER, index)
        other.peers.address_by_instance[HOLDER] = PeerAddress(
            LOOPBACK,
            holder.peer_port,
        )
        base_by_path = {
            'target': target,
            'bare 1': first,
            'bare 2': second,
            'router 1': holder.front.url,
            'router 2': other.front.url,
        }
        return {
            path: f'{base}/{SERVICE}/document'
            for path, base in base_by_path.items()
        }

    async def stop(self) -> None:
        """Stop everything."""
        for daemon in reversed(self._daemons):
            await daemon.stop()
        for bare in reversed(self._passes):
            await bare.stop()
        await self._target.stop()

    async def _add_pass(self, base_url: str) -> str:
        bare = BarePass(base_url)
        self._passes.append(bare)
        return await bare.start()

    async def _add_daemon(
        self,
        instance_id: InstanceId,
        index: CatalogueIndex,
    ) -> RequestPath:
        settings = _settings(instance_id)
        clock = SystemClock()
        # The core stands still: its lease is written by hand below.
        core = Ownership(settings, Incarnation(1), seeded_random(1))
        telemetry = Telemetry(settings, clock)
        daemon = RequestPath(settings, core, telemetry, clock)
        daemon.placement.adopt_catalogue(index)
        routing_map = RoutingMap(Epoch(1), {}, {TARGET: HOLDER})
        daemon.placement.adopt_map(DATA_CENTRE, routing_map)
        lease = TargetLease(TARGET, Fence(1), float('inf'))
        if instance_id == HOLDER:
            daemon.tools.leases.lease_by_target[TARGET] = lease
        await daemon.start()
        await daemon.front.start()
        self._daemons.append(daemon)
        return daemon


async def _answer(request: web.BaseRequest) -> web.Response:
    return web.Response(body=BODY)


def _index(address: str) -> CatalogueIndex:
    limits = TargetLimits(slots=64, connections=100, cold_slots=64)
    service = ServiceEntry(
        owner='bench',
        name=SERVICE,
        routing=RoutingClass.any_target,
    )
    target = TargetEntry(
        owner='bench',
        target_id=TARGET,
        service=SERVICE,
        data_centre=DATA_CENTRE,
        address=address,
        limits=limits,
    )
    caller = CallerEntry(
        owner='bench',
        caller_id=DEFAULT_CALLER,
        limits=CallerLimits(PLENTY, PLENTY),
    )
    data_centre = DataCentreEntry(owner='bench', data_centre_id=DATA_CENTRE)
    return CatalogueIndex(
        Catalogue(
            (service,),
            (target,),
            (data_centre,),
            (caller,),
            CatalogueVersion(1),
        ),
    )


def _settings(instance_id: InstanceId) -> Settings:
    return Settings(
        instance=InstanceSettings(
            instance_id=instance_id,
            data_centre=DATA_CENTRE,
            address=LOOPBACK,
            caller_port=0,
            peer_port=0,
        ),
        platform=PlatformSettings(table_url='', instances_url=''),
        security=SecuritySettings(fleet_key='k', operator_credential='c'),
    )
