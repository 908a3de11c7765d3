from __future__ import annotations

import json
import unittest
from pathlib import Path
from unittest import mock

import cappa
from aiohttp import web
from prometheus_client.samples import Sample

from fulmarlever.outcomes import OutcomeUnknown
from fulmarlever_cli import client as client_module
from fulmarlever_cli.arguments import Arguments
from fulmarlever_cli.context import DEFAULT_ADMIN_ADDRESS, Context
from fulmarlever_cli.display import format_table
from fulmarlever_cli.tests.base import TOKEN, CommandTestCase
from fulmarleverd.api import report as report_module

EXAMPLES = Path(__file__).parents[4] / "examples"
VALID = "teams: {a: {}}\n"
INVALID = "teams: {a: {}, a: {}}\nserviecs: {}\n"


class CommandTests(CommandTestCase):
    async def test_check_examples(self):
        for path in sorted(EXAMPLES.glob("*.yaml")):
            with self.subTest(path.name):
                code, out, _ = await self.run_command("check", str(path))
                self.assertEqual(code, 0)
                self.assertIn("no mistakes", out)

    async def test_apply_then_status(self):
        path = self.write_file(VALID)
        code, out, _ = await self.run_command("apply", path, "--if-generation", "0")
        self.assertEqual(code, 0)
        self.assertEqual(
            out, "against generation 0:\n  + teams a\ngeneration 1 accepted\n"
        )
        code, out, _ = await self.run_command("status", "--wait-generation", "1")
        self.assertEqual(code, 0)
        self.assertIn("entry-a-1  a     1", out)

    async def test_invalid_file_prints_all_findings_and_is_not_applied(self):
        path = self.write_file(INVALID)
        for name in ("check", "apply"):
            with self.subTest(name):
                code, _, err = await self.run_command(name, path)
                self.assertEqual(code, 1)
                lines = err.splitlines()
                self.assertTrue(lines[0].startswith(f"{path}:1:16: duplicate key"))
                self.assertTrue(lines[1].startswith(f"{path}:2:1: unknown section"))
        self.assertEqual(self.kernel.find("config").current().generation, 0)

    async def test_failures(self):
        path = self.write_file(VALID)
        rows = [
            (
                "other generation",
                ("apply", path, "--if-generation", "7"),
                TOKEN,
                "generation 0 is",
            ),
            ("wrong token", ("status",), "x" * 20, "an operator's token"),
            ("missing file", ("apply", "none.yaml"), TOKEN, "none.yaml:1:1: cannot"),
            ("no job", ("cancel", "x", "y"), TOKEN, "there is no job 'y'"),
            ("time without unit", ("timeline", "--since", "3"), TOKEN, "has no unit"),
            ("unknown VM", ("drain", "w-9"), TOKEN, "no VM 'w-9'"),
            (
                "older generation",
                ("status", "--wait-generation", "9", "--wait-limit", "0"),
                TOKEN,
                "not in force on: entry-a-1",
            ),
        ]
        for name, arguments, token, message in rows:
            with self.subTest(name):
                code, out, err = await self.run_command(*arguments, token=token)
                self.assertEqual(code, 1)
                self.assertNotIn("accepted", out)
                self.assertIn(message, err)

    # A daemon started with --interface has no admin API. Against its port, the commands
    # once failed with only "status 404 without a JSON body".
    async def test_port_without_admin_api_is_reported(self):
        runner = web.AppRunner(web.Application())
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{runner.addresses[0][1]}"
        for name in ("status", "services", "jobs", "timeline", "report"):
            with self.subTest(name):
                code, _, err = await self.run_command(name)
                self.assertEqual(code, 1)
                self.assertIn(f"{self.address} is not an admin port", err)

    async def test_dry_run_shows_plan_and_applies_nothing(self):
        await self.run_command("apply", self.write_file(VALID))
        path = self.write_file("teams: {a: {quota: {cores: 2}}, b: {}}\n")
        code, out, _ = await self.run_command("apply", path, "--dry-run")
        self.assertEqual(code, 0)
        self.assertIn("  ~ teams a: quota None -> 2c/0MiB/0a\n  + teams b\n", out)
        self.assertEqual(self.kernel.find("config").current().generation, 1)

    async def test_json_output(self):
        path = self.write_file(VALID)
        _, out, _ = await self.run_command("apply", path, "--output", "json")
        self.assertEqual(json.loads(out)["generation"], 1)
        code, out, _ = await self.run_command("check", "none.yaml", "--output", "json")
        self.assertEqual(json.loads(out)["findings"][0]["file"], "none.yaml")
        self.assertEqual(code, 1)

    async def test_unknown_outcome_advises_to_repeat_with_apply_id(self):
        original = client_module.AdminClient._send_once

        async def lose_answer(client, method, address, path, **options):
            result = await original(client, method, address, path, **options)
            return OutcomeUnknown("lost") if path == "/v1/apply" else result

        with (
            mock.patch.object(client_module.AdminClient, "_send_once", lose_answer),
            mock.patch.object(client_module, "RETRY_DELAY_S", 0),
        ):
            code, _, err = await self.run_command("apply", self.write_file(VALID))
        self.assertEqual(code, 3)
        apply_id = err.split("--apply-id ")[1].strip()
        arguments = ("apply", self.write_file(VALID), "--apply-id", apply_id)
        self.assertEqual((await self.run_command(*arguments))[0], 0)
        code, out, _ = await self.run_command(*arguments)
        self.assertIn("  no difference\ngeneration 1 accepted\n", out)

    async def test_submit_list_and_cancel_jobs(self):
        await self.run_command(
            "apply", self.write_file("teams: {a: {quota: {cores: 2}}}")
        )
        text = "jobs: {dry: {team: a, size: {cores: CORES}, deadline: in 2h}}"
        rows = [
            ("submit", "submit", "1", 0, "submitted: dry"),
            ("repeat", "submit", "1", 0, "submitted: dry"),
            ("same name, other job", "submit", "2", 1, "another job 'dry' exists"),
            ("over quota", "submit", "3", 1, "file.yaml:1:29: one task needs 3 cores"),
        ]
        for name, command, cores, expected, message in rows:
            with self.subTest(name):
                path = self.write_file(text.replace("CORES", cores))
                code, out, err = await self.run_command(command, path)
                self.assertEqual(code, expected, err)
                self.assertIn(message, out + err)
        for command, message in (("jobs", "queued"), ("cancel", "dry: cancelling")):
            names = ["dry"] if command == "cancel" else []
            for _ in range(2):
                code, out, _ = await self.run_command(command, *names)
                self.assertEqual(code, 0)
                self.assertIn(message, out)

    async def test_drain(self):
        drained = self.kernel.find("config").drained
        rows = [(["w-1"], "w-1 is draining", {"w-1"}), (["w-1"], "draining", {"w-1"})]
        rows += [(["w-1", "--undo"], "takes work again", set())] * 2
        for arguments, message, expected in rows:
            with self.subTest(arguments=arguments):
                code, out, _ = await self.run_command("drain", *arguments)
                self.assertEqual(code, 0)
                self.assertIn(message, out)
                self.assertEqual(drained.value, expected)

    async def test_handover_of_a_service(self):
        text = "teams: {a: {}}\nservices:\n  f: {team: a, size: {cores: 1}}\n"
        await self.run_command("apply", self.write_file(text))
        config = self.kernel.find("config")
        rows = [
            (["--to", "old", "--share", "30%"], 0, 0.7, 2),
            (["--to", "old", "--share", "30%"], 0, 0.7, 2),
            (["--to", "new", "--share", "5ms"], 1, 0.7, 2),
            (["--to", "new", "--share", "130%"], 1, 0.7, 2),
            (["--to", "new"], 0, 1.0, 3),
        ]
        for arguments, expected, share, generation in rows:
            with self.subTest(arguments=arguments):
                code, _, err = await self.run_command("handover", "f", *arguments)
                self.assertEqual(code, expected, err)
                cfg = config.current()
                self.assertEqual(cfg.services["f"].new_share, share)
                self.assertEqual(cfg.generation, generation)

    async def test_handover_refuses_options_shared_by_anchor(self):
        text = (
            "teams: {a: {}}\nservices:\n  f: &f {team: a, size: {cores: 1}}\n  g: *f\n"
        )
        await self.run_command("apply", self.write_file(text))
        code, _, err = await self.run_command("handover", "f", "--to", "old")
        self.assertEqual(code, 1)
        self.assertIn("shares options between f and g", err)

    async def test_report(self):
        samples = [
            Sample(
                "fulmarlever_request_seconds_bucket",
                {"service": "f", "le": le},
                count,
            )
            for le, count in (("0.01", 50), ("0.1", 100), ("+Inf", 100))
        ]
        for name, labels, count in (
            ("fulmarlever_requests_total", {"service": "f", "status": "2xx"}, 100),
            ("fulmarlever_refused_total", {"service": "f", "cause": "share"}, 7),
            ("fulmarlever_evictions_total", {}, 2),
        ):
            samples.append(Sample(name, labels, count))
        plot = self.write_file("")
        with mock.patch.object(report_module, "_samples", lambda: iter(samples)):
            code, out, err = await self.run_command("report", "--plot", plot)
        self.assertEqual(code, 0, err)
        self.assertIn("10ms  98.2ms  99.8ms  100      7        100%", out)
        self.assertIn("evictions: 2", out)
        self.assertIn("f,,0.1,100", Path(plot).read_text())

    async def test_timeline(self):
        code, out, _ = await self.run_command("timeline", "--kind", "job.submitted")
        self.assertEqual(code, 0)
        self.assertIn("entry-a-1  job.submitted         labels\n", out)
        self.assertIn("not reached: entry-b-1: no answer", out)
        page = self.write_file("")
        _, out, _ = await self.run_command("timeline", "--html", page)
        self.assertEqual(out, f"1 events written to {page}\n")
        self.assertIn("job.submitted", Path(page).read_text())

    async def test_next_daemon_is_used_if_one_is_unreachable(self):
        self.address = f"127.0.0.1:1,{self.address}"
        with mock.patch.dict("os.environ", FULMARLEVER_ADMIN=self.address):
            args = cappa.parse(Arguments, argv=["status", "--token", TOKEN])
            context = Context.from_arguments(args)
            async with context.client as client:
                self.assertEqual((await client.get("/v1/status"))["vm"], "entry-a-1")


class ArgumentTests(unittest.TestCase):
    def test_usage_errors(self):
        for argv in (["apply"], ["nothing"], ["status", "--wait-generation", "x"]):
            with self.subTest(argv=argv), self.assertRaises(cappa.Exit) as caught:
                cappa.parse(Arguments, argv=argv)
            self.assertEqual(caught.exception.code, 2)

    def test_precedence_of_admin_addresses(self):
        rows = [
            (["jobs", "--admin", "a:1", "--admin", "b:2"], {}, ["a:1", "b:2"]),
            (["--admin", "a:1", "jobs"], {"FULMARLEVER_ADMIN": "c:3"}, ["a:1"]),
            (["jobs"], {"FULMARLEVER_ADMIN": "c:3,d:4"}, ["c:3", "d:4"]),
            (["jobs"], {}, [DEFAULT_ADMIN_ADDRESS]),
        ]
        for argv, environ, addresses in rows:
            with self.subTest(argv=argv):
                args = cappa.parse(Arguments, argv=argv)
                context = Context.from_arguments(args, environ)
                self.assertEqual(context.client.addresses, addresses)

    def test_format_table(self):
        self.assertEqual(format_table(("A", "B"), [("long", 1)]), "A     B\nlong  1")
