"""Decides which earlier answers an engine of the rig writes once more, and where.

A copy is written in one of four places of its connection: right after its answer, as soon as the
next request arrives, together with the answer to that one, or after it. A refusal is also written
once more when its request comes again on the connection and runs.
"""

ID_LINE = "X-Berylrock-Attempt-Id: {}\r\n"
# Shares of the answers that are written a second time, and of the copied refusals without an id.
COPIED_SHARE, COPIED_REFUSAL_SHARE, UNNAMED_SHARE = 0.03, 0.3, 0.25
# Share of the new connections of a proxied engine on which a copy of a refusal comes first.
STRAY_SHARE = 0.5
PLACES = ("at once", "early", "together", "after")


class ConnectionCopies:
    """The copies that are still to be written on one connection.

    Attributes:
      is_fair: Whether each copy so far names an earlier request of this connection.
    """

    def __init__(self):
        self.is_fair = True
        self._due = dict.fromkeys(PLACES, b"")
        self._refusals = {}

    def take(self, place):
        """Return what is due at a place of ``PLACES``, which is then due no more."""
        data, self._due[place] = self._due[place], b""
        return data

    def add(self, place, copy, is_fair=True):
        """Let a copy be written at a place of ``PLACES``."""
        self._due[place] += copy
        self.is_fair = self.is_fair and is_fair

    def keep_refusal(self, request_id, data):
        """Keep a refusal, to be written again when its request comes again."""
        self._refusals[request_id] = data

    def repeat_refusal(self, request_id, place):
        """Let the refusal of a request that comes again be written once more, if there was one."""
        copy = self._refusals.pop(request_id, b"")
        self.add(place, copy, not copy)


class Copier:
    """Chooses the copies of all connections of an engine."""

    def __init__(self, rng, is_proxied):
        """Prepare; a proxied engine's refusals are copied to its new connections."""
        self._rng = rng
        self._is_proxied = is_proxied
        self._strays = []

    def open(self):
        """Return the copies for a new connection."""
        copies = ConnectionCopies()
        if self._strays and self._rng.random() < STRAY_SHARE:
            copies.add("together", self._strays.pop(), is_fair=False)
        return copies

    def plan(self, copies, request_id, data, is_refusal):
        """Choose whether an answer that was just written is copied, and where.

        Args:
          copies: The copies of its connection.
          request_id: Id of its request.
          data: The answer.
          is_refusal: Whether it is a refusal.
        """
        if is_refusal:
            copies.keep_refusal(request_id, data)
        share = COPIED_REFUSAL_SHARE if is_refusal else COPIED_SHARE
        is_stray = is_refusal and self._is_proxied
        if not is_stray and self._rng.random() >= share:
            return
        is_named = not is_refusal or self._rng.random() >= UNNAMED_SHARE
        copy = data if is_named else data.replace(ID_LINE.format(request_id).encode(), b"")
        if is_stray:
            self._strays.append(copy)
        else:
            copies.add(self._rng.choice(PLACES), copy, is_named)

    def repeat_refusal(self, copies, request_id):
        """Let the refusal of a request that runs now be written before its answer."""
        copies.repeat_refusal(request_id, self._rng.choice(("early", "together")))
