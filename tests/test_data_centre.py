"""Tests of a data centre that operators take out and return."""

import unittest

import msgspec

from cassialever.catalogue.entries import Catalogue, DataCentreEntry
from cassialever.types import DataCentreId
from standins.deployment import Deployment
from standins.moving import Mover
from tests.helpers import ISSUANCE, WEST, make_catalogue, make_target

EAST = DataCentreId('east')


def catalogue() -> Catalogue:
    """Make two data centres with two targets of the keyed service each."""
    east = [
        msgspec.structs.replace(make_target(f'registry-{n}'), data_centre=EAST)
        for n in (3, 4)
    ]
    both = make_catalogue(
        make_target('registry-1'),
        make_target('registry-2'),
        make_target('issuance-1', ISSUANCE),
        *east,
    )
    entry = DataCentreEntry(owner='operations', data_centre_id=EAST)
    return msgspec.structs.replace(
        both,
        data_centres=(*both.data_centres, entry),
    )


class TestDataCentreOutAndBack(unittest.IsolatedAsyncioTestCase):
    """Callers go on asking while one data centre leaves and returns."""

    async def test_no_request_fails_and_no_new_work_arrives(self) -> None:
        """Its keys are served elsewhere, and by itself again afterwards."""
        deployment = Deployment(catalogue(), daemons_each=1)
        await deployment.start()
        await deployment.settled()
        mover = Mover(deployment, WEST, '/registry/x', 'X-Cassialever-Key')
        outcome = await mover.run(grace=5, stay=1)
        await deployment.stop()
        self.assertEqual(set(outcome.answers), {'200 whole answer'})
        self.assertEqual(outcome.runs_after_grace, 0)
        self.assertGreater(outcome.runs_after_return, 0)
