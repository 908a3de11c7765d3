"""Run every test module in a process of its own and print one summary line.

A module is a file named ``*_tests.py`` below ``packages/``. Arguments restrict the
run to modules whose dotted name contains one of them. Tests listed in
``KNOWN-RED.txt`` are run and printed, and do not change the verdict. The seed of
Python's hashes decides the order of sets; it is printed, so that a run can be repeated.
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
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MODULE_TIMEOUT_S = 900
MAX_HASH_SEED = 2**32 - 1
RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
BROKEN = re.compile(r"^(?:ERROR|FAIL): (\S+) \(([\w.]+)\)", re.MULTILINE)


class ModuleResult:
    """The outcome of one test module."""

    __slots__ = ("name", "ran", "broken", "output")

    def __init__(self, name: str, ran: int, broken: set[str], output: str) -> None:
        self.name = name
        self.ran = ran
        self.broken = broken
        self.output = output


def find_modules(words: list[str]) -> list[str]:
    """Return the dotted names of the test modules to run."""
    names = []
    for path in sorted((ROOT / "packages").glob("*/*/tests/**/*_tests.py")):
        parts = path.relative_to(ROOT / "packages").with_suffix("").parts[1:]
        name = ".".join(parts)
        if not words or any(word in name for word in words):
            names.append(name)
    return names


def run_module(name: str, hash_seed: int) -> ModuleResult:
    """Run one module and read its result from the output of unittest."""
    env = dict(os.environ, HYPOTHESIS_PROFILE="ci", PYTHONHASHSEED=str(hash_seed))
    command = [sys.executable, "-m", "unittest", name]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return ModuleResult(name, 1, {name}, f"no end within {MODULE_TIMEOUT_S} s")
    output = done.stdout + done.stderr
    found = RAN.search(output)
    ran = int(found.group(1)) if found else 0
    broken = {f"{match[2]}" for match in BROKEN.finditer(output)}
    if done.returncode != 0 and not broken:
        broken = {name}
        ran = max(ran, 1)
    return ModuleResult(name, ran, broken, output)


def read_known_red() -> set[str]:
    """Return the test ids listed in the file of known failures."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def main() -> int:
    """Run the modules, print failures and the summary, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("words", nargs="*")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument(
        "--hash-seed", type=int, default=random.randint(0, MAX_HASH_SEED)
    )
    args = parser.parse_args()
    print(f"hash seed {args.hash_seed}", flush=True)
    run = partial(run_module, hash_seed=args.hash_seed)
    with ThreadPoolExecutor(max_workers=args.jobs) as pool:
        results = list(pool.map(run, find_modules(args.words)))
    known = read_known_red()
    unexpected = [broken for r in results for broken in r.broken if broken not in known]
    expected = [broken for r in results for broken in r.broken if broken in known]
    for result in results:
        if result.broken:
            print(f"--- {result.name}\n{result.output}")
    for name in sorted(expected):
        print(f"known red: {name}")
    for name in sorted(unexpected):
        print(f"failed: {name}")
    passed = sum(r.ran for r in results) - len(unexpected) - len(expected)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
