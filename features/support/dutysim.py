"""A duty's record under random histories: lost and late writes, suspended VMs, a restored store."""

import random

from berylrock.core import duties, errors, stored
from berylrock.ops import dutylease

LEASE_S = 3.0
STEP_S = 0.2


class Record:
    """The record in the store, changed by conditional writes.

    As on the platform, a write that changes nothing succeeds, and leaves the revision as it is.
    """

    def __init__(self):
        self.record, self.revision, self.era = None, None, 1
        self._number = 10
        self._copy = (None, None, 10)

    def write(self, record, revision):
        """Write the record if it has this revision; raises ``Conflict`` otherwise."""
        if revision != self.revision:
            raise errors.Conflict("changed")
        if record == self.record:
            return self.revision
        self._number += 1
        self.record = record
        self.revision = stored.make_revision(self.era, self._number)
        return self.revision

    def copy(self):
        """Take the copy from which the store will come back."""
        self._copy = (self.record, self.revision, self._number)

    def restore(self):
        """Come back from the copy in a new era."""
        self.era += 1
        self.record, revision, self._number = self._copy
        if revision is not None:
            self.revision = stored.make_revision(self.era, stored.find_number(revision))
        else:
            self.revision = None


class Candidate:
    """A gateway that wants the duty, and acts while it believes to hold it."""

    def __init__(self, name, rng):
        self.lease = dutylease.DutyLease(duties.Holder(name, 1), LEASE_S)
        self.name, self.rng = name, rng
        self.awake_at = 0.0
        self.answers = []
        self._has_read = False

    def step(self, store, now, acts):
        """Handle answers that have arrived, act, and make the next call."""
        for item in [item for item in self.answers if item[0] <= now]:
            self.answers.remove(item)
            item[1](now)
        if self.lease.holds(now):
            acts.append((now, self.name, self.lease.record.token))
        if self.answers or self.rng.random() < 0.4:
            return
        if not self.lease.holds(now) and not self._has_read:
            found = (store.record, store.revision, store.era)
            self._later(now, lambda at: self.lease.observe(*found, at))
            self._has_read = True
            return
        self._has_read = False
        if self.lease.may_write(now):
            self._write(store, now)

    def _later(self, now, action):
        self.answers.append((now + self.rng.choice((0.0, 0.1, 0.7)), action))

    def _write(self, store, now):
        record, revision = self.lease.next_record(), self.lease.revision
        if revision is not None and stored.find_era(revision) < store.era:
            self.lease.lose()
            return
        fate = self.rng.random()
        if fate < 0.1:
            return
        try:
            written = store.write(record, revision)
        except errors.Conflict:
            self._later(now, lambda at: self.lease.lose())
            return
        if fate > 0.25:
            self._later(now, lambda at: self.lease.record_written(record, written, now))


def play(seed, restores=False):
    """Play a random history; returns what the candidates did, as ``(time, name, token)``."""
    rng = random.Random(seed)
    store, acts = Record(), []
    candidates = [Candidate(f"g{number}", rng) for number in range(rng.randint(2, 5))]
    now = 0.0
    while now < 60.0:
        now += STEP_S
        for item in rng.sample(candidates, len(candidates)):
            if now < item.awake_at:
                continue
            if rng.random() < 0.01:
                item.awake_at = now + rng.uniform(0.5, 8.0)
                continue
            item.step(store, now, acts)
        if restores and rng.random() < 0.05:
            store.copy()
        if restores and rng.random() < 0.015:
            store.restore()
    return acts


def find_faults(acts):
    """Return tokens that two used or that went back, and acts of two within each other's time."""
    faults, owner, highest = [], {}, 0
    for at, name, token in acts:
        if owner.setdefault(token, name) != name:
            faults.append(f"{at:.1f}: {name} and {owner[token]} used token {token}")
        if token < highest:
            faults.append(f"{at:.1f}: {name} acted with {token} after {highest}")
        highest = max(highest, token)
    return faults
