"""Source changes that each remove a mechanism that finds what crashes engines."""

from support.mutanttypes import Mutant

MUTANTS = (
    Mutant(
        "crash-order",
        "ops/crashscore.py",
        "    if case.rounds < MIN_ROUNDS:\n",
        "    if False:\n",
        "Engines crash for other reasons",
    ),
    Mutant(
        "crash-parts",
        "ops/crashscore.py",
        "    return case.score >= needed",
        "    return case.score >= 1000.0 + needed",
        "Requests with a prompt part that crashes engines",
    ),
    Mutant(
        "crash-begun",
        "daemons/gateway/streaming.py",
        "            if isinstance(exc, http1.ResponseBroken):\n",
        "            if isinstance(exc, http1.ResponseBroken) and not self._event_count:\n",
        "Gateways find a prompt part that crashes engines after",
    ),
    Mutant(
        "crash-after-answer",
        "ops/soundness.py",
        "now - at <= SETTLING_S",
        "now - at <= -1.0",
        "The point of an answer at which an engine crashes",
    ),
    Mutant(
        "crash-chance",
        "ops/crashscore.py",
        "    if share <= chance:\n        return 0.0\n",
        "    chance = 0.01\n",
        "A part of many requests crashes engines",
    ),
    Mutant(
        "crash-sound-elsewhere",
        "ops/crashblame.py",
        "            if self.soundness.hear(suspect, at):\n",
        "            if False:\n",
        "The prompt part that explains the crashes",
    ),
    Mutant(
        "crash-explained",
        "ops/crashblame.py",
        "self.is_blamed(suspect) or self._is_explained(suspect, until)",
        "self.is_blamed(suspect)",
        "The prompt part that explains the crashes",
    ),
    Mutant(
        "crash-trial-after-start",
        "core/routing.py",
        "trials=max(0, min(MAX_TRIALS, count))",
        "trials=0",
        "Gateways adopt the latest decision on a prompt part",
    ),
)
