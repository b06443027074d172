"""Source changes that each remove one mechanism, and the scenarios that have to fail then."""

from typing import NamedTuple


class Edit(NamedTuple):
    """A replacement of text in a source file.

    Attributes:
      file: Path of the file, relative to the package ``berylrock``.
      old: The text to replace.
      new: The text that replaces it.
    """

    file: str
    old: str
    new: str


class Mutant(NamedTuple):
    """A source change that removes a mechanism, and the scenario that has to fail then.

    Attributes:
      name: Name of the mutant.
      file: Path of the first changed file, relative to the package ``berylrock``.
      old: The text to replace in it.
      new: The text that replaces it.
      scenario: Part of the scenario's name.
      more_edits: Further changes. A promise that is enforced in two places is broken only if both
        are removed.
    """

    name: str
    file: str
    old: str
    new: str
    scenario: str
    more_edits: tuple[Edit, ...] = ()

    @property
    def edits(self) -> tuple[Edit, ...]:
        """All changes of the mutant."""
        return (Edit(self.file, self.old, self.new), *self.more_edits)


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
        "A withdrawn version receives no new requests at ferrante",
    ),
    Mutant(
        "session",
        "daemons/entry/completions.py",
        "        elif session:",
        "        elif False:",
        "Sessions keep their version through a growing rollout at ferrante",
    ),
    Mutant(
        "bills-once",
        "daemons/sidecar/entrylinks.py",
        "        self._hand_over_bills()",
        "        pass",
        "although its entry-1 is killed",
    ),
    Mutant(
        "bills-copied",
        "daemons/entry/process.py",
        "        server_link.send(message.BillsLeft(unreplicated))\n",
        "",
        "although its sidecar and then",
    ),
    Mutant(
        "cold-limit",
        "ops/warmup.py",
        "            return self.pool.cold_limit\n",
        "            return UNBOUNDED\n",
        "Cold engines receive no more than they can handle at ferrante",
    ),
    Mutant(
        "cold-again",
        "ops/warmup.py",
        "return self.pool.cold_limit if self.pool is not None else 0",
        "return UNBOUNDED",
        "An engine that becomes cold without notice",
    ),
    Mutant(
        "zone",
        "daemons/entry/serverlinks.py",
        "            and server_link.server.zone in in_service\n",
        "",
        "A zone leaves service and returns under load at ferrante",
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
        "Streams survive connections that go silent permanently at ferrante",
    ),
    Mutant(
        "resume",
        "daemons/entry/completions.py",
        "            resume_tokens=self._chunk_count,",
        "            resume_tokens=0,",
        "Streams are resumed completely when engine-1.backend",
    ),
    Mutant(
        "not-run",
        "ops/claims.py",
        "            except errors.StoreUnavailable:\n                if attempt",
        "            except errors.StoreUnavailable:\n"
        "                return ClaimResult(True, claim, 0)\n                if attempt",
        "Orders are refused as not run during an outage of the store at ferrante",
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
        "Lost answers of the object API neither repeat nor lose an order at ferrante",
    ),
    Mutant(
        "leaving",
        "daemons/entry/serverlinks.py",
        "            and not server_link.server.leaving\n",
        "",
        "A server that the VM list marks as leaving receives no new requests at ferrante",
    ),
    Mutant(
        "drain",
        "daemons/sidecar/process.py",
        "        while self._busy() and",
        "        while False and",
        "A sidecar that shuts down reports it",
    ),
    Mutant(
        "config-higher",
        "daemons/sidecar/entrylinks.py",
        "            conn.send(self._config.message_for(msg.config_version))",
        "            pass",
        "An accepted change takes effect everywhere although the store fails at ferrante",
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
        "Of two concurrent operators one succeeds and the other is refused at ferrante",
    ),
    Mutant(
        "bad-version",
        "ops/versionhealth.py",
        "MIN_THRESHOLD = 0.8",
        "MIN_THRESHOLD = 1e9",
        "The rollout of a version that becomes bad is rolled back automatically at ferrante",
    ),
    Mutant(
        "poison",
        "ops/strikes.py",
        "DEFAULT_CRASHES_TO_QUARANTINE = 2",
        "DEFAULT_CRASHES_TO_QUARANTINE = 100",
        "A request that crashes engines crashes at most two at ferrante",
    ),
    Mutant(
        "fence",
        "ops/fences.py",
        "            if order.fence < self.fence:",
        '            return ""\n            if order.fence < self.fence:',
        "An order of a holder that was suspended past its lease",
    ),
    Mutant(
        "lease",
        "ops/lease.py",
        '        elif self._seen_version == 0 or record.holder == "" or expired:',
        "        elif self._seen_version == 0:",
        "An interrupted rollout is continued",
    ),
    Mutant(
        "overload",
        "ops/admission.py",
        "MAX_TOKEN_SHARE = 0.9",
        "MAX_TOKEN_SHARE = 9.0",
        "Engines never receive more tokens than their capacity",
    ),
    Mutant(
        "slow-reader",
        "ops/runs.py",
        "        bounded = self.start.repeatable\n",
        "        bounded = False\n",
        "Slow readers use little memory",
    ),
    Mutant(
        "relay-doubt",
        "daemons/gateway/confirming.py",
        "            return relays.doubt_age_s(ctx.cfg.bounds, ctx.engines.gaps.lost)",
        "            return 1e9",
        "although the relay is cut off from the store",
        (Edit("daemons/gateway/following.py", "if engines_age_s > MAX", "if False and 0 > MAX"),),
    ),
    Mutant(
        "relay-silence",
        "daemons/gateway/following.py",
        "ANSWER_TIMEOUT_S = 0.6",
        "ANSWER_TIMEOUT_S = 60.0",
        "although the relay is frozen",
        (
            Edit(
                "daemons/gateway/confirming.py",
                "return relays.doubt_age_s(ctx.cfg.bounds, ctx.engines.gaps.lost)",
                "return 1e9",
            ),
        ),
    ),
    Mutant(
        "relay-gap",
        "ops/mirrors.py",
        "if revision < self._floor or in_gap:",
        "if revision < self._floor:",
        "Copies that follow the store through changing relays stay complete",
    ),
    Mutant(
        "progress",
        "daemons/gateway/streaming.py",
        "self._next_event_timeouts(opened), self._progress_at\n",
        "self._next_event_timeouts(opened)\n",
        "A stream that stalls with comment lines",
    ),
    Mutant(
        "crash-order",
        "ops/crashcases.py",
        "and self.rounds >= MIN_ROUNDS\n            )",
        "and self.rounds >= 0\n            )",
        "Engines crash for other reasons",
    ),
    Mutant(
        "crash-parts",
        "ops/crashblame.py",
        "            if not item.begun and item.shared_parts\n",
        "            if False\n",
        "Requests with a prompt part that crashes engines",
    ),
    Mutant(
        "refusal-again",
        "ops/refusals.py",
        "    if not named_id:\n",
        "    if False:\n",
        "A request whose engine writes an earlier refusal once more",
        (Edit("ops/refusals.py", "    if named_id != request_id:\n", "    if False:\n"),),
    ),
    Mutant(
        "refusal-status",
        "ops/refusals.py",
        "    if status not in REFUSAL_STATUSES:\n",
        "    if False:\n",
        "that says that it did not run",
    ),
    Mutant(
        "second-send",
        "daemons/gateway/sending.py",
        "        return not failure.arrived or routing.is_repeatable(self._req.route)\n",
        "        return True\n",
        "An order that an engine has refused is not sent to it again",
    ),
    Mutant(
        "largest-gives-way",
        "ops/buffering.py",
        "            largest.give_up()\n",
        "            return False\n",
        "Endless answers of one engine leave room",
    ),
    Mutant(
        "line-limit",
        "ops/lines.py",
        "        if len(self._rest) > self._max_bytes:\n",
        "        if False:\n",
        "A sidecar gives up an event line without end",
        (Edit("ops/lines.py", "        self._hold.resize(len(self._rest))\n", ""),),
    ),
    Mutant(
        "call-time",
        "adapters/platform.py",
        "        self._loop.call_soon_threadsafe(",
        "        (lambda *call: None)(",
        "the object API that sends single bytes of a head",
    ),
    Mutant(
        "slow-for-good",
        "ops/health.py",
        "        return self._first_part_s * 0.5 ** (age_s / HALF_LIFE_S)\n",
        "        return self._first_part_s\n",
        "The only answer of an engine was slow",
    ),
    Mutant(
        "unframed-end",
        "daemons/gateway/streaming.py",
        "        if not opened.head.framed and not self._event_count:\n",
        "        if False:\n",
        "After a stream has begun",
    ),
    Mutant(
        "leaving-now",
        "daemons/gateway/noticing.py",
        "    if head.leaving:\n",
        "    if False:\n",
        "An engine leaves while the store is away",
    ),
    Mutant(
        "pause",
        "ops/selection.py",
        "        and not item.notices.obstacle(criteria.now)\n",
        "",
        "An engine that asks for a pause gets none",
        (Edit("daemons/gateway/attempt.py", "        if obstacle:\n", "        if False:\n"),),
    ),
    Mutant(
        "limit",
        "daemons/gateway/noticing.py",
        "    _record_limit(ctx, state, head)\n",
        "",
        "Three gateways together keep to the limit",
    ),
    Mutant(
        "limit-shares",
        "ops/enginelimits.py",
        "        return limit_per_s / holders\n",
        "        return limit_per_s\n",
        "gateways keep to a limit of",
    ),
    Mutant(
        "limit-join",
        "ops/enginelimits.py",
        "        if not self.joined:\n            return 0.0\n",
        "",
        "gateways restart, join and leave at a limit of",
    ),
    Mutant(
        "limit-heard",
        "daemons/gateway/gossip.py",
        "            self._record_limits(message, sent_at)\n",
        "",
        "A gateway hears from another one that a limit",
    ),
    Mutant(
        "route-test",
        "ops/trials.py",
        "                if test.bad >= min_bad and test.score >= sequentialtest.FAULT_SCORE:\n",
        "                if False:\n",
        "A version is judged on each route",
    ),
    Mutant(
        "held",
        "ops/rollouts.py",
        "    return bool(verdict.doubt) and",
        "    return False and",
        "A plain service's version that fails look",
    ),
    Mutant(
        "unexpected",
        "daemons/gateway/attempt.py",
        "        except Exception as exc:\n            self.log_error(exc)\n",
        "        except ZeroDivisionError as exc:\n            self.log_error(exc)\n",
        "An error before a read is written",
    ),
    Mutant(
        "gone",
        "daemons/gateway/callers.py",
        "                if flow.may_be_cancelled:\n",
        "                if False:\n",
        "that waits for the end of the engines' pause",
        (
            Edit(
                "daemons/gateway/sending.py",
                "if self.caller_left or self.crashes_engines:",
                "if self.crashes_engines:",
            ),
        ),
    ),
    Mutant(
        "gone-entry",
        "daemons/entry/placement.py",
        "        if is_wanted():\n",
        "        if True or is_wanted():\n",
        "that wait for a server leave with their callers",
    ),
    Mutant(
        "store-gap",
        "ops/storegaps.py",
        "        return self.is_open(now) or (self.last is",
        "        return True or (self.last is",
        "Most engines leave while only this gateway is cut off",
    ),
    Mutant(
        "lapsed-share",
        "ops/engineset.py",
        "        return 2 * len(lapsed) >= len(self._states)\n",
        "        return True\n",
        "An engine leaves while no gateway hears the store",
    ),
    Mutant(
        "reset",
        "adapters/http1.py",
        "        if self.has_open_request and not transport.is_closing():\n",
        "        if False:\n",
        "An engine learns by a reset that a read fails over",
    ),
)
