from __future__ import annotations

import unittest

from fulmarlever.structure.fleet import BackendServer
from fulmarleverd.requests.channels import Channels
from fulmarleverd.requests.server_share import ServerShare

SERVER = BackendServer("filling/0", "filling", "a", "worker-0", "127.0.0.1", 1)


class TrimTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.channels = Channels()
        self.addAsyncCleanup(self.channels.close)
        self.share = ServerShare(SERVER)
        self.share.limit = 3

    def take(self, count: int) -> list:
        return [self.channels.take(self.share.address) for _ in range(count)]

    def trim(self) -> None:
        self.channels.trim({SERVER.name: self.share})

    async def test_channel_of_a_slot_that_sends_no_request_yet_is_kept(self):
        taken = self.take(2)
        for channel in taken:
            self.channels.return_to_pool(channel, self.share.limit)
        self.share.in_use = 2
        self.trim()
        self.assertCountEqual(self.take(2), taken)

    async def test_idle_and_taken_channels_stay_within_the_limit(self):
        taken = self.take(3)
        for channel in taken[:2]:
            self.channels.return_to_pool(channel, self.share.limit)
        self.share.limit = 2
        self.trim()
        idle = [channel for channel in self.take(2) if channel in taken]
        self.assertEqual(len(idle), 1)
