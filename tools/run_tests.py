"""Run every test module in its own process and print one summary line.

A module is a file named ``*_tests.py`` below ``packages/``. Arguments restrict the
run to modules whose dotted name contains one of them. Modules that measure the memory
of a process under load run one at a time, after all others. Tests listed in
``KNOWN-RED.txt`` are run and printed, but do not affect the exit code. An entry for a
subtest, such as ``test: ID (seed=5)``, covers that subtest alone. Python's hash seed
determines the order of sets. It is printed, so that a run can be repeated with
``--hash-seed``.
"""

from __future__ import annotations

import argparse
import os
import random
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
MODULE_TIMEOUT_S = 900
MAX_HASH_SEED = 2**32 - 1
# Test modules below this package load the machine themselves and must run alone.
EXCLUSIVE_PACKAGE = "fulmarlever_standins.tests.connections."
TEST_COUNT_PATTERN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
FAILURE_PATTERN = re.compile(
    r"^(?:ERROR|FAIL): \S+ \(([\w.]+)\)( [(\[].*)?$", re.MULTILINE
)
ENTRY_PREFIX = "test: "


class ModuleResult:
    """The result of one test module.

    ``failures`` holds the dotted ids of the tests that failed, followed by the
    parameters of the subtest if there are any, or the name of the module if it failed
    as a whole. ``output`` is what the module printed.
    """

    __slots__ = ("name", "test_count", "failures", "output")

    def __init__(
        self, name: str, test_count: int, failures: set[str], output: str
    ) -> None:
        self.name = name
        self.test_count = test_count
        self.failures = failures
        self.output = output


def find_modules(words: list[str]) -> list[str]:
    """Return the sorted dotted names of the test modules that contain one of the words.

    Without words, return all of them.
    """
    names = []
    for path in sorted((ROOT / "packages").glob("*/*/tests/**/*_tests.py")):
        parts = path.relative_to(ROOT / "packages").with_suffix("").parts[1:]
        name = ".".join(parts)
        if not words or any(word in name for word in words):
            names.append(name)
    return names


def run_module(name: str, hash_seed: int) -> ModuleResult:
    """Run one module in a new process and parse the output of unittest.

    A module that runs longer than ``MODULE_TIMEOUT_S`` counts as one failure.
    """
    env = dict(os.environ, HYPOTHESIS_PROFILE="ci", PYTHONHASHSEED=str(hash_seed))
    command = [sys.executable, "-m", "unittest", name]
    try:
        process = subprocess.run(
            command,
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return ModuleResult(name, 1, {name}, f"timed out after {MODULE_TIMEOUT_S} s")
    output = process.stdout + process.stderr
    match = TEST_COUNT_PATTERN.search(output)
    test_count = int(match.group(1)) if match else 0
    failures = {
        match[1] + (match[2] or "") for match in FAILURE_PATTERN.finditer(output)
    }
    if process.returncode != 0 and not failures:
        failures = {name}
        test_count = max(test_count, 1)
    return ModuleResult(name, test_count, failures, output)


def read_known_failures() -> set[str]:
    """Return the tests and subtests in the file of known failures; empty without it."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    }


def main() -> int:
    """Run the modules, print failures and the summary, and return the exit code.

    The exit code is 1 if a test failed unexpectedly or none passed, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("words", nargs="*")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument(
        "--hash-seed", type=int, default=random.randint(0, MAX_HASH_SEED)
    )
    args = parser.parse_args()
    print(f"hash seed {args.hash_seed}", flush=True)
    run = partial(run_module, hash_seed=args.hash_seed)
    modules = find_modules(args.words)
    exclusive = [name for name in modules if name.startswith(EXCLUSIVE_PACKAGE)]
    with ThreadPoolExecutor(max_workers=args.jobs) as pool:
        others = (name for name in modules if name not in exclusive)
        results = list(pool.map(run, others))
    results += map(run, exclusive)
    known = read_known_failures()
    unexpected = [test for r in results for test in r.failures if test not in known]
    expected = [test for r in results for test in r.failures if test in known]
    for result in results:
        if result.failures:
            print(f"--- {result.name}\n{result.output}")
    for name in sorted(expected):
        print(f"known red: {name}")
    for name in sorted(unexpected):
        print(f"failed: {name}")
    failed_tests = {test.split()[0] for test in unexpected}
    red_tests = {test.split()[0] for test in expected} | failed_tests
    passed = sum(r.test_count for r in results) - len(red_tests)
    print(f"{passed} passed, {len(failed_tests)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
