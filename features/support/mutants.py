"""Shows that scenarios can fail: takes one mechanism out of a scratch copy and runs its scenario.

A mutant that its scenario does not notice is reported. Run from the root of a checkout:
``python features/support/mutants.py [NAME ...]``.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import NamedTuple

COPIED = ("berylrock", "features", "examples")


class Edit(NamedTuple):
    """A text in a file, and what replaces it."""

    file: str
    old: str
    new: str


class Mutant(NamedTuple):
    """A mechanism taken out, and the scenario to fail.

    A promise that is enforced in two places fails only when both are taken out; ``also`` has the
    other places.
    """

    name: str
    file: str
    old: str
    new: str
    scenario: str
    also: tuple[Edit, ...] = ()

    @property
    def edits(self) -> tuple[Edit, ...]:
        """All that is changed."""
        return (Edit(self.file, self.old, self.new), *self.also)


MUTANTS = (
    Mutant(
        "allowed",
        "ops/eligibility.py",
        "    return data.is_allowed(organisation, version_id)",
        "    return True",
        "Only allowed versions run at ferrante",
        (
            Edit(
                "ops/admission.py",
                "    if not owners or not data.is_allowed(owners[0], version_id):",
                "    if False:",
            ),
        ),
    ),
    Mutant(
        "withdrawn",
        "ops/eligibility.py",
        "or text in doc.withdrawals",
        "",
        "A withdrawn version gets no new work at ferrante",
    ),
    Mutant(
        "session",
        "daemons/entry/completions.py",
        "        elif session:",
        "        elif False:",
        "Sessions keep their version through a growing roll-out at ferrante",
    ),
    Mutant(
        "bills-once",
        "daemons/sidecar/entrylinks.py",
        "        self._hand_over_bills()",
        "        pass",
        "though its entry-1 is killed",
    ),
    Mutant(
        "bills-copied",
        "daemons/entry/process.py",
        "        server_link.send(message.BillsLeft(unreplicated))\n",
        "",
        "though first its sidecar",
    ),
    Mutant(
        "cold-limit",
        "ops/warmup.py",
        "            return self.pool.cold_limit\n",
        "            return UNBOUNDED\n",
        "Cold engines get no more than they bear at ferrante",
    ),
    Mutant(
        "cold-again",
        "ops/warmup.py",
        "return self.pool.cold_limit if self.pool is not None else 0",
        "return UNBOUNDED",
        "An engine that turns cold without warning",
    ),
    Mutant(
        "zone",
        "daemons/entry/serverlinks.py",
        "            and server_link.server.zone in in_service\n",
        "",
        "A zone goes out and comes back under load at ferrante",
        (
            Edit(
                "ops/admission.py", "    if not zones or not zones[0].in_service:", "    if False:"
            ),
        ),
    ),
    Mutant(
        "reattach",
        "daemons/entry/serverlinks.py",
        "            conn.send(message.Attach(attempt.start.attempt, attempt.offset))",
        "            pass",
        "Streams survive connections that go silent for good at ferrante",
    ),
    Mutant(
        "resume",
        "daemons/entry/completions.py",
        "            resume_tokens=self._chunk_count,",
        "            resume_tokens=0,",
        "Streams are resumed whole when engine-1.backend",
    ),
    Mutant(
        "not-run",
        "ops/claims.py",
        "            except errors.StoreUnavailable:\n                if attempt",
        "            except errors.StoreUnavailable:\n"
        "                return ClaimResult(True, claim, 0)\n                if attempt",
        "While the store is out orders are refused truthfully and the rest goes on at ferrante",
    ),
    Mutant(
        "claim",
        "ops/claims.py",
        "                return ClaimResult(False, found, stored.version)",
        "                return ClaimResult(True, found, stored.version)",
        "An order whose entry process is lost is answered through another at ferrante",
    ),
    Mutant(
        "lost-answer",
        "ops/claims.py",
        "            if found.token == claim.token:",
        "            if False:",
        "Lost answers of the object API neither double nor lose an order at ferrante",
    ),
    Mutant(
        "leaving",
        "daemons/entry/serverlinks.py",
        "            and not server_link.server.leaving\n",
        "",
        "A server that the VM list names as leaving gets no new work at ferrante",
    ),
    Mutant(
        "drain",
        "daemons/sidecar/process.py",
        "        while self._busy() and",
        "        while False and",
        "A sidecar that is told to stop says so itself",
    ),
    Mutant(
        "config-higher",
        "daemons/sidecar/entrylinks.py",
        "            conn.send(self._config.message_for(msg.config_version))",
        "            pass",
        "An accepted change is in force everywhere though the store goes out at ferrante",
        (
            Edit(
                "daemons/entry/process.py",
                "            if msg.config_version > config.version:",
                "            if False:",
            ),
        ),
    ),
    Mutant(
        "operators-race",
        "ops/publishing.py",
        "version = await objects.put(configuration.OBJECT_KIND, name, body, if_version)",
        "version = await objects.put(configuration.OBJECT_KIND, name, body, None)",
        "Of two operators at once one wins and the other is told at ferrante",
    ),
    Mutant(
        "bad-version",
        "ops/versionhealth.py",
        "MIN_THRESHOLD = 0.8",
        "MIN_THRESHOLD = 1e9",
        "A roll-out of a version that turns bad goes back by itself at ferrante",
    ),
    Mutant(
        "poison",
        "ops/strikes.py",
        "CRASHES_TO_REFUSE = 2",
        "CRASHES_TO_REFUSE = 100",
        "A request that crashes engines costs two at the most at ferrante",
    ),
    Mutant(
        "fence",
        "ops/fences.py",
        "            if order.fence < self.fence:",
        '            return ""\n            if order.fence < self.fence:',
        "A holder frozen past its lease",
    ),
    Mutant(
        "lease",
        "ops/lease.py",
        '        elif self._seen_version == 0 or record.holder == "" or expired:',
        "        elif self._seen_version == 0:",
        "A roll-out cut short is carried on",
    ),
    Mutant(
        "overload",
        "ops/admission.py",
        "MAX_TOKEN_SHARE = 0.9",
        "MAX_TOKEN_SHARE = 9.0",
        "Engines are never given more tokens than they hold",
    ),
    Mutant(
        "slow-reader",
        "ops/runs.py",
        "        bounded = self.start.repeatable\n",
        "        bounded = False\n",
        "Slow readers hold little memory",
    ),
)


def apply(mutant: Mutant, folder: pathlib.Path) -> None:
    """Take a mechanism out of a copy of the sources."""
    for edit in mutant.edits:
        path = folder / "berylrock" / edit.file
        text = path.read_text(encoding="utf-8")
        if edit.old not in text:
            raise SystemExit(f"{mutant.name}: its text is no longer in {edit.file}")
        path.write_text(text.replace(edit.old, edit.new), encoding="utf-8")


def is_noticed(mutant: Mutant) -> bool:
    """Run the mutant's scenario in a scratch copy; tells whether it failed."""
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder:
        for name in COPIED:
            shutil.copytree(name, pathlib.Path(folder) / name)
        apply(mutant, pathlib.Path(folder))
        command = [sys.executable, "-m", "behave", "-f", "null", "features", "-n", mutant.scenario]
        env = {**os.environ, "PYTHONPATH": folder}
        done = subprocess.run(command, cwd=folder, env=env, capture_output=True, check=False)
        return done.returncode != 0


def main() -> None:
    """Run the mutants that are named, or all."""
    chosen = [item for item in MUTANTS if not sys.argv[1:] or item.name in sys.argv[1:]]
    missed = []
    for mutant in chosen:
        noticed = is_noticed(mutant)
        print(f"{mutant.name}: {'failed as it should' if noticed else 'NOT NOTICED'}", flush=True)
        if not noticed:
            missed.append(mutant.name)
    print(f"{len(chosen) - len(missed)} passed, {len(missed)} failed")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
