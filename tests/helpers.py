"""Sample catalogues that several tests share."""

from cassialever.catalogue.entries import (
    CallerEntry,
    Catalogue,
    DataCentreEntry,
    ServiceEntry,
    TargetEntry,
)
from cassialever.types import (
    CallerId,
    CatalogueVersion,
    DataCentreId,
    RoutingClass,
    ServiceName,
    TargetId,
)

WEST = DataCentreId('west')
REGISTRY = ServiceName('registry')
ISSUANCE = ServiceName('issuance')


def make_target(
    name: str,
    service: ServiceName = REGISTRY,
    address: str = '127.0.0.1:9',
) -> TargetEntry:
    """Return a target entry in data centre west."""
    return TargetEntry(
        owner='registry team',
        target_id=TargetId(name),
        service=service,
        data_centre=WEST,
        address=address,
    )


def make_catalogue(*targets: TargetEntry) -> Catalogue:
    """Return a catalogue of one data centre and two services."""
    return Catalogue(
        version=CatalogueVersion(1),
        services=(
            ServiceEntry(
                owner='registry team',
                name=REGISTRY,
                routing=RoutingClass.keyed,
                slices=64,
            ),
            ServiceEntry(
                owner='issuance team',
                name=ISSUANCE,
                routing=RoutingClass.any_target,
            ),
        ),
        targets=targets
        or (make_target('registry-1'), make_target('i-1', ISSUANCE)),
        data_centres=(
            DataCentreEntry(owner='operations', data_centre_id=WEST),
        ),
        callers=(
            CallerEntry(owner='operations', caller_id=CallerId('default')),
        ),
    )
