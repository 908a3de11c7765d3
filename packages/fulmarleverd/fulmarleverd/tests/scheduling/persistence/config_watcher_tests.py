"""The watcher of the operator's table: the configuration and the evacuated zones."""

from __future__ import annotations

import unittest

from loguru import logger as log

from fulmarlever.clock import ManualClock
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.platform.formats import (
    CONFIG_KEY,
    OPERATOR_TABLE,
    parse_config,
    parse_evacuated_zone,
)
from fulmarleverd.scheduling.persistence.config_watcher import ConfigWatcher
from fulmarleverd.scheduling.ports import HistoryGone, RowSet, StoredRow

CONFIG = b'{"version": 3, "routes": [], "services": []}'


def rows(*keys: str) -> tuple[StoredRow, ...]:
    """Return rows of the operator's table; a key with a ``-`` in front is deleted."""
    return tuple(
        StoredRow(
            OPERATOR_TABLE,
            key.removeprefix("-"),
            CONFIG if key == CONFIG_KEY else b"{}",
            is_deleted=key.startswith("-"),
        )
        for key in keys
    )


class EndOfScript(Exception):
    pass


class ScriptedStore:
    """A store whose answers are given; ``None`` means that its history is gone."""

    def __init__(self, answers: list) -> None:
        self._answers = iter(answers)

    def _next(self) -> object:
        for keys in self._answers:
            return HistoryGone("") if keys is None else RowSet(rows(*keys), 1)
        raise EndOfScript

    async def read(self, *args: object) -> object:
        return self._next()

    async def changes(self, *args: object) -> object:
        return self._next()


class Platform:
    """The parts of an interface that the watcher uses."""

    config_table = OPERATOR_TABLE
    config_key = CONFIG_KEY
    parse_config = staticmethod(parse_config)
    parse_evacuated_zone = staticmethod(parse_evacuated_zone)

    def __init__(self, answers: list) -> None:
        self.store = ScriptedStore(answers)


class EvacuatedZonesTests(TableTestCase, unittest.IsolatedAsyncioTestCase):
    # Answers of the store (a snapshot, then changes), evacuated zones, and the number
    # of lines about keys that cannot be read.
    ROWS = (
        ("none", [("config",)], "", 0),
        ("in the snapshot", [("config", "evacuate/a")], "a", 0),
        ("in a change", [("config",), ("evacuate/a",)], "a", 0),
        ("two", [("evacuate/a",), ("evacuate/b",)], "ab", 0),
        ("one taken back", [("evacuate/a", "evacuate/b"), ("-evacuate/a",)], "b", 0),
        (
            "asked again in one batch",
            [("evacuate/a",), ("-evacuate/a", "evacuate/a")],
            "a",
            0,
        ),
        ("another row", [("evacuate/a",), ("config", "other/a")], "a", 0),
        ("another row deleted", [("evacuate/a",), ("-other/a",)], "a", 0),
        ("nothing changed", [("evacuate/a",), (), ()], "a", 0),
        ("a newer snapshot", [("evacuate/a",), None, ("evacuate/b",)], "b", 0),
        ("no zone", [("evacuate/", "evacuate/a"), ("evacuate/",)], "a", 1),
        ("no zone, deleted", [("evacuate/a", "evacuate/"), ("-evacuate/",)], "a", 1),
    )

    # Guards against zones that stay evacuated after the row is gone, that are forgotten
    # with another change of the table, and against a malformed key that ends the
    # watcher or fills the log.
    async def test_the_rows_tell_the_zones(self):
        for _, answers, expected, unreadable in self.each(self.ROWS):
            events: list[str] = []
            log.remove()
            log.add(
                lambda message, events=events: events.append(
                    message.record["extra"].get("event")
                )
            )
            watcher = ConfigWatcher(Platform(answers), ManualClock())
            with self.assertRaises(EndOfScript):
                await watcher.run()
            self.assertEqual(watcher.evacuated.zones, set(expected))
            self.assertTrue(watcher.evacuated.is_known)
            self.assertEqual(events.count("evacuation-unreadable"), unreadable)
            if answers[0][0] == "config":
                self.assertEqual(watcher.config.version, 3)
