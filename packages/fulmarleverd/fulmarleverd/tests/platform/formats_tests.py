"""Tests of the decoders of configurations, workers' entries and jobs."""

from __future__ import annotations

import json

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.outcomes import failed
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.platform.formats import (
    is_job_id,
    parse_config,
    parse_evacuated_zone,
    parse_job,
    parse_worker,
)
from fulmarleverd.platform.http import encode_request
from fulmarleverd.scheduling.ports import StoredRow

ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "born": 1700000000123,
    "machine": "m-1",
    "sequence": 4,
}
DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = 10**400
# Numbers that JSON texts can hold, but that are no sizes, counts or times.
INVALID_NUMBERS = (HUGE, -1, float("inf"), float("nan"), True, "1", None, [1])
ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "pathPrefix": "/p/",
    "timeoutMs": 3000,
    "targetLatencyMs": 250,
    "priority": 2,
    "service": "desk",
    "maxAttempts": 4,
    "stretch": 2.2,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE, {**ROUTE, "name": "r-2", "pathPrefix": "/p/long/"}],
    "services": [{"name": "desk", "admissionCheck": True, "healthPath": "/health"}],
    "limits": {"maxBodyBytes": 1000},
}
# Surrogates as well, which JSON can hold, and line ends.
ANY_CHARACTER = st.characters() | st.sampled_from("\udc9a\ud83d\r\n")
STEP = {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 900}

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(sorted({*ENTRY, *CONFIG, *STEP, "phases"})), inner
        )
    ),
    max_leaves=12,
)


def row(value: object) -> StoredRow:
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoredRow("t", "i-1", raw, 1)


def without_capacity(name: str) -> dict:
    """Return an entry that lacks one number of its capacity."""
    capacity = {k: v for k, v in ENTRY["capacity"].items() if k != name}
    return {**ENTRY, "capacity": capacity}


class WorkerEntryTests(TableTestCase):
    def test_an_entry_is_decoded(self):
        entry = parse_worker(row(ENTRY))
        self.assertEqual((entry.id, entry.incarnation), ("i-1", "1700000000123"))
        self.assertEqual((entry.cpu_m, entry.memory_mb), (16000, 32768))
        self.assertEqual(entry.labels, ("a", "r1-3"))
        self.assertFalse(entry.is_draining)

    def test_a_draining_entry_has_its_remaining_time(self):
        draining = {**ENTRY, "state": "draining", "remainingMs": 1500}
        entry = parse_worker(row(draining))
        self.assertTrue(entry.is_draining)
        self.assertEqual(entry.remaining_s, 1.5)

    def test_a_malformed_entry_is_undecodable(self):
        rows = (
            ("bytes", b"\xff\xfe\x00"),
            ("not an object", [1, 2]),
            ("unknown state", {**ENTRY, "state": "odd"}),
            *(
                (f"no {name}", {k: v for k, v in ENTRY.items() if k != name})
                for name in ("service", "address", "zone", "state", "labels", "born")
            ),
            # Regression (AVAIL, review/15): entries of another writer without these
            # stopped the tasks that last on three sound workers.
            *(
                (f"no {name}", {k: v for k, v in ENTRY.items() if k != name})
                for name in ("version", "slots", "coldLeftMs", "sequence")
            ),
            *(
                (f"{name} of text", {**ENTRY, name: "x"})
                for name in ("slots", "coldLeftMs", "sequence")
            ),
            ("version of number", {**ENTRY, "version": 1}),
            ("no capacity", {k: v for k, v in ENTRY.items() if k != "capacity"}),
            ("labels of text", {**ENTRY, "labels": "a"}),
            *(
                (f"no {name} of the capacity", without_capacity(name))
                for name in ENTRY["capacity"]
            ),
            ("capacity of text", {**ENTRY, "capacity": {"cpu": "1", "memMb": 1}}),
            ("service of number", {**ENTRY, "service": 5}),
            ("labels of numbers", {**ENTRY, "labels": [1]}),
            ("start time of text", {**ENTRY, "born": "now"}),
        )
        for _, value in self.each(rows):
            self.assertTrue(failed(parse_worker(row(value))))

    # Guards against daemons that end, or give up the lease, again and again because of
    # one malformed entry in the list of workers.
    def test_an_entry_out_of_range_names_no_worker(self):
        capacity = ENTRY["capacity"]
        rows = [
            ("nested", DEEP),
            (
                "nested field",
                b'{"service":"desk","state":"ready","zone":' + DEEP + b"}",
            ),
            ("digits", b'{"born":' + b"9" * 10_000 + b"}"),
        ]
        for number in INVALID_NUMBERS:
            rows.append((f"born {number!r:.9}", {**ENTRY, "born": number}))
            for name in ("remainingMs", "coldLeftMs", "slots", "sequence"):
                rows.append((f"{name} {number!r:.9}", {**ENTRY, name: number}))
            for name in capacity:
                invalid = {**ENTRY, "capacity": {**capacity, name: number}}
                rows.append((f"{name} {number!r:.9}", invalid))
        for port in ("", "0", "65536", "99999999999", "-1", "x", "\u0661"):
            rows.append((f"port {port}", {**ENTRY, "address": f"10.0.0.1:{port}"}))
        rows += [("no port", {**ENTRY, "address": "10.0.0.1"})]
        for _, value in self.each(rows):
            self.assertTrue(failed(parse_worker(row(value))))

    @given(JSON_VALUES)
    def test_decoders_accept_any_json_without_an_exception(self, value):
        parse_worker(row(value))
        parse_config(row(value))
        parse_job("0" * 16, json.dumps(value).encode())

    def test_a_worker_may_be_slow_for_a_while(self):
        rows = (
            ("slow", {"coldLeftMs": 2500}, 2.5),
            ("no longer", {"coldLeftMs": 0}, 0.0),
        )
        for _, fields, expected in self.each(rows):
            entry = parse_worker(row({**ENTRY, **fields}))
            self.assertEqual(entry.cold_left_s, expected)


class EvacuationTests(TableTestCase):
    def test_the_key_names_the_zone(self):
        rows = (
            ("a zone", "evacuate/z-1", "z-1"),
            ("a zone with a slash", "evacuate/a/b", "a/b"),
            ("the configuration", "config", None),
            ("no slash", "evacuate", None),
            ("another prefix", "evacuated/z", None),
        )
        for _, key, expected in self.each(rows):
            self.assertEqual(parse_evacuated_zone(key), expected)
        self.assertTrue(failed(parse_evacuated_zone("evacuate/")))


class ConfigTests(TableTestCase):
    def test_the_queue_with_the_longest_path_prefix_is_found(self):
        cfg = parse_config(row(CONFIG))
        rows = (
            ("short", "a.example", "/p/1", "r-1"),
            ("long", "a.example", "/p/long/1", "r-2"),
            ("other host", "b.example", "/p/1", None),
            ("other path", "a.example", "/q/1", None),
        )
        for _, host, path, expected in self.each(rows):
            found = cfg.find_queue(host, path)
            self.assertEqual(found.name if found else None, expected)

    def test_milliseconds_are_decoded_to_seconds(self):
        queue = parse_config(row(CONFIG)).queues[0]
        self.assertEqual(
            (queue.target_latency_s, queue.timeout_s, queue.stretch), (0.25, 3.0, 2.2)
        )

    # Guards against a configuration that is rejected, or that removes every limit,
    # because one of its limits is invalid.
    def test_limits_have_defaults(self):
        valid = {
            "maxHeaderBytes": 8000,
            "maxBodyBytes": 1000,
            "headerTimeoutMs": 2500,
            "idleTimeoutMs": 9000,
        }
        default = (16384, 262144, 3.0, 15.0)
        rows = [
            ("valid", valid, (8000, 1000, 2.5, 9.0)),
            ("none", {}, default),
            ("no object", [1], default),
            *(
                (repr(bad)[:20], dict.fromkeys(valid, bad), default)
                for bad in (*INVALID_NUMBERS, 0)
            ),
        ]
        for _, limits, expected in self.each(rows):
            cfg = parse_config(row({**CONFIG, "limits": limits}))
            found = (cfg.max_head_bytes, cfg.max_body_bytes, cfg.head_s, cfg.idle_s)
            self.assertEqual(found, expected)

    def test_a_queue_may_need_tickets(self):
        advice = {"decideMs": 40, "periodMs": 2, "validityMs": 3000}
        cfg = parse_config(row({**CONFIG, "routes": [{**ROUTE, "advice": advice}]}))
        queue = cfg.queues[0]
        self.assertTrue(queue.needs_ticket)
        self.assertEqual(queue.decision_s, 0.04)
        self.assertEqual(queue.decision_per_worker_s, 0.002)
        self.assertEqual(queue.ticket_validity_s, 3.0)
        self.assertFalse(parse_config(row(CONFIG)).queues[0].needs_ticket)


class JobTests(TableTestCase):
    def parse(self, value: object) -> object:
        return parse_job("0" * 16, json.dumps(value).encode())

    def test_a_job_is_decoded(self):
        fields = {"fills": True, "targetMs": 50, "antiAffinity": 2, "mayMiss": 1}
        job = self.parse(
            {"spec": "s", "phases": [STEP, {**STEP, "after": [0]} | fields]}
        )
        first, second = job.steps
        self.assertEqual((first.count, first.cpu_m, first.estimate_s), (4, 500, 0.9))
        self.assertEqual((second.after, second.max_per_worker), ((0,), 2))
        self.assertTrue(second.is_best_effort)
        self.assertEqual((second.latency_target_s, second.max_unavailable), (0.05, 1))

    def test_malformed_and_oversized_jobs_are_refused(self):
        rows = (
            ("not an object", [1]),
            ("no steps", {"spec": "s"}),
            ("count of text", {"phases": [{**STEP, "count": "4"}]}),
            ("long specification", {"spec": "x" * 4001, "phases": [STEP]}),
            ("too many tasks", {"phases": [{**STEP, "count": 1_000_000}]}),
            # Their decoding would block the event loop.
            ("too many steps without tasks", {"phases": [{}] * 20_001}),
        )
        for _, value in self.each(rows):
            self.assertTrue(failed(self.parse(value)))

    def test_jobs_with_values_out_of_range_are_refused(self):
        rows = [("nested", DEEP)]
        numbers = ("count", "cpu", "memMb", "gpus", "estimateMs", "targetMs")
        for number in INVALID_NUMBERS:
            for name in (*numbers, "antiAffinity"):
                value = {"phases": [{**STEP, name: number}]}
                rows.append((f"{name} {number!r:.9}", json.dumps(value).encode()))
            for name in ("repetitions", "startAtMs", "intervalMs"):
                value = {"phases": [STEP], name: number}
                rows.append((f"{name} {number!r:.9}", json.dumps(value).encode()))
            if number is not None:
                value = {"phases": [{**STEP, "mayMiss": number}]}
                rows.append((f"mayMiss {number!r:.9}", json.dumps(value).encode()))
        for name in ("image", "constraints", "affinity"):
            value = {"phases": [{**STEP, name: ["a"]}]}
            rows.append((name, json.dumps(value).encode()))
        for _, raw in self.each(rows):
            self.assertTrue(failed(parse_job("0" * 16, raw)))

    def test_steps_after_themselves_or_later_steps_are_errors(self):
        rows = (
            ("itself", [{**STEP, "after": [0]}], True),
            ("later", [{**STEP, "after": [1]}, STEP], True),
            ("none", [{**STEP, "count": 0}], True),
            ("earlier", [STEP, {**STEP, "after": [0]}], False),
        )
        for _, phases, expected in self.each(rows):
            job = self.parse({"phases": phases})
            self.assertEqual(bool(job.find_error()), expected)


class TextTests(TableTestCase):
    # Guards against text of another writer that the clients cannot send (LOST).
    @given(
        st.text(st.characters(), max_size=6)
        | st.sampled_from(("i-1", "\udc9a", "a\r\n")),
        st.text(st.characters(), max_size=6).map(lambda host: host + ":80")
        | st.sampled_from(("\udc9a:80", "a\r\nb:80", "10.0.0.1:80")),
        st.text(st.characters(), max_size=3) | st.just("\udc9a"),
    )
    def test_a_worker_that_is_decoded_can_be_called_and_stored(
        self, key, address, text
    ):
        entry = {**ENTRY, "address": address, "zone": text, "labels": [text, "r1-3"]}
        worker = parse_worker(StoredRow("t", key, json.dumps(entry).encode(), 1))
        if failed(worker):
            return
        headers = {"X-Target-Instance": worker.id}
        request = encode_request("POST", worker.address, "/hold", {}, headers)
        self.assertIsInstance(request, bytes)
        self.assertEqual(request.count(b"\r\n"), 6)
        msgpack.packb([worker.id, worker.zone, *worker.labels])

    def test_what_is_no_job_id(self):
        rows = (
            ("digits", "5c0e7a21d94b36f8", True),
            ("capital digits", "5C0E7A21D94B36F8", True),
            ("empty", "", False),
            ("another row", "5c0e7a21d94b36f8/cancel", False),
            ("line end", "5c0e7a21d94b36f8\n", False),
            ("other digits", "\u0661" * 16, False),
        )
        for _, text, expected in self.each(rows):
            self.assertEqual(is_job_id(text), expected)
