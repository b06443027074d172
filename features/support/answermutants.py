"""Source changes to what answers on connections prove, and the scenarios that have to fail then."""

from support.mutanttypes import Edit, Mutant

PLAYS = "Whatever engines copy, requests run once"
HAS_CARRIED = "            if conns[index].history.has_carried(request_id):\n"

MUTANTS = (
    Mutant(
        "refusal-again",
        "ops/answers.py",
        "        if not claim.names:\n",
        "        if False:\n",
        "A request whose engine writes an earlier refusal once more",
        (Edit("ops/answers.py", "        if named != current.digest:\n", "        if False:\n"),),
    ),
    Mutant(
        "refusal-status",
        "ops/answers.py",
        "        if claim.status not in REFUSAL_STATUSES:\n",
        "        if False:\n",
        "that says that it did not run",
    ),
    Mutant(
        "second-send",
        "daemons/gateway/sending.py",
        "        return not failure.arrived or routing.is_repeatable(self._req.route)\n",
        "        return True\n",
        "An order that an engine has refused is not sent to it again",
        (
            Edit(
                "daemons/gateway/sending.py",
                "frozenset() if is_repeatable else frozenset(self.reached)",
                "frozenset()",
            ),
        ),
    ),
    Mutant(
        "address-again",
        "ops/selection.py",
        "        and item.engine.address not in criteria.left\n",
        "",
        "at an address is not sent to that address again",
    ),
    Mutant(
        "returned-run",
        "daemons/gateway/attempt.py",
        "        if paused or self._returns:\n",
        "        if paused:\n",
        "A read whose refusal is copied when it comes to another id",
    ),
    Mutant(
        "misdirected",
        "daemons/gateway/attempt.py",
        "            self.state.notices.record_hint(now)\n",
        "            pass\n",
        "An engine that has started again under a new id",
    ),
    Mutant(
        "copy-fails",
        "ops/answers.py",
        "                return Verdict(Meaning.EARLIER)\n",
        "                break\n",
        "gets its own answer",
    ),
    Mutant(
        "former-address",
        "platform/calls.py",
        "            if not is_kept or item.address != address:\n",
        "            if not is_kept:\n",
        "No call goes to the store's former address",
    ),
    Mutant(
        "store-path",
        "platform/calls.py",
        "            elif found is None and item.path == path:\n",
        "            elif found is None:\n",
        "A copy of the list of one kind",
    ),
    Mutant(
        "watch-copy",
        "platform/store.py",
        "        if found is None or not self._may_follow(found, revision):\n",
        "        if found is None:\n",
        "A copy of the answer to a watch",
    ),
    Mutant(
        "report-copy",
        "platform/provider.py",
        "        self._client.close()\n        if answer.status",
        "        if answer.status",
        "A copy of the answer to a report",
    ),
    Mutant(
        "renewal-copy",
        "daemons/gateway/reporting.py",
        "        if written is None or written.revision <= (self._lease.revision or 0):\n",
        "        if written is None:\n",
        "A copy of the answer to a renewal",
    ),
    Mutant(
        "plays-address-again",
        "ops/selection.py",
        "        and item.engine.address not in criteria.left\n",
        "",
        PLAYS,
    ),
    Mutant(
        "plays-connection-again",
        "daemons/gateway/pool.py",
        HAS_CARRIED,
        "            if False:\n",
        PLAYS,
    ),
    Mutant(
        "plays-own-copy",
        "ops/answers.py",
        "        if any(item.digest == named for item in self._earlier):\n",
        "        if False:\n",
        PLAYS,
        (Edit("daemons/gateway/pool.py", HAS_CARRIED, "            if False:\n"),),
    ),
    Mutant(
        "plays-copy-fails",
        "ops/answers.py",
        "                return Verdict(Meaning.EARLIER)\n",
        "                break\n",
        PLAYS,
    ),
    Mutant(
        "plays-nameless",
        "ops/answers.py",
        "        if not claim.names:\n",
        "        if False:\n",
        PLAYS,
        (
            Edit(
                "ops/answers.py",
                "        if named != current.digest:\n",
                "        if claim.names and named != current.digest:\n",
            ),
        ),
    ),
    Mutant(
        "plays-names-another",
        "ops/answers.py",
        "        if named != current.digest:\n",
        "        if False:\n",
        PLAYS,
    ),
    Mutant(
        "plays-no-body",
        "ops/answers.py",
        "BODILESS_STATUSES = frozenset((204, 304))\n",
        "BODILESS_STATUSES = frozenset()\n",
        PLAYS,
    ),
    Mutant(
        "copy-no-body",
        "ops/answers.py",
        "BODILESS_STATUSES = frozenset((204, 304))\n",
        "BODILESS_STATUSES = frozenset()\n",
        "comes after a copy of one with no body",
    ),
    Mutant(
        "copies-endless",
        "daemons/gateway/dueresponse.py",
        "MAX_PASSED_OVER = 4\n",
        "MAX_PASSED_OVER = 1_000_000\n",
        "after ten copies of a refusal fails, and runs once",
    ),
    Mutant(
        "copies-long",
        "daemons/gateway/dueresponse.py",
        "MAX_PASSED_OVER_BYTES = 65_536\n",
        "MAX_PASSED_OVER_BYTES = 65_536_000\n",
        "after a long copy of an answer fails, and runs once",
    ),
    Mutant(
        "copies-remembered",
        "ops/answers.py",
        "MAX_REMEMBERED = 64\n",
        "MAX_REMEMBERED = 63\n",
        "A connection knows the last 64 requests that it has carried",
    ),
    Mutant(
        "old-news",
        "daemons/gateway/attempt.py",
        "            return part\n",
        "            if isinstance(part, h11.Response):\n"
        "                raw = part.headers.raw_items()\n"
        "                head = translating.read_response_head(part.status_code, raw)\n"
        "                noticing.record(self._ctx, self.state, head)\n"
        "            return part\n",
        "says of its engine is no news",
    ),
    Mutant(
        "copy-in-stream",
        "ops/answers.py",
        "                return Verdict(Meaning.EARLIER)\n",
        "                break\n",
        "A stream whose head comes after",
    ),
    Mutant(
        "read-again",
        "daemons/gateway/pool.py",
        HAS_CARRIED,
        "            if False:\n",
        "A read that comes again to a process that is known under two ids",
        (
            Edit(
                "ops/answers.py",
                "        if any(item.digest == named for item in self._earlier):\n",
                "        if False:\n",
            ),
        ),
    ),
    Mutant(
        "plays-reuse",
        "daemons/gateway/pool.py",
        "            or conn.history.passed_over\n",
        "",
        PLAYS,
    ),
    Mutant(
        "copy-to-head",
        "ops/answers.py",
        " and item.has_no_body == current.has_no_body and ends",
        " and ends",
        "The copy of an answer to HEAD is passed over only",
    ),
    Mutant(
        "copies-forgotten",
        "ops/answers.py",
        "MAX_REMEMBERED = 64\n",
        "MAX_REMEMBERED = 1\n",
        PLAYS,
    ),
    Mutant(
        "copies-crash",
        "daemons/gateway/dueresponse.py",
        'raise CopiesWithoutEnd("copies',
        'raise http1.ResponseBroken("copies',
        "An engine that writes ten copies of a refusal is not taken for",
    ),
    Mutant(
        "watch-as-list",
        "platform/storedobjects.py",
        "foreign in raw or ",
        "",
        "The answer to a watch is not taken for a list, after a copy of one without",
    ),
    Mutant(
        "refused-watch-kept",
        "platform/store.py",
        "            # The answer to this watch may still come on the connection.\n"
        "            self._client.close()\n",
        "",
        "The answer to a watch is not taken for a list, after a copy of one with ",
        (Edit("platform/storedobjects.py", "foreign in raw or ", ""),),
    ),
    Mutant(
        "second-loss",
        "daemons/sidecar/entrylinks.py",
        "if conn in self._settled or name not in self._lost_at:",
        "if True:",
        "said never to have started after two losses",
    ),
)
