from __future__ import annotations

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.lease import handicap_s


class HandicapTests(TableTestCase):
    def test_vms_with_fewer_cores_wait_longer(self):
        rows = (("weak", 0.5, 0.6), ("usual", 1.07, 0.1), ("strong", 2.15, 0.0))
        for _, cores, expected in self.each(rows):
            self.assertEqual(handicap_s(cores), expected)
