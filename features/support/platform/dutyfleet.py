"""Runs several gateways whose platform asks for reports of usage, and checks the reports."""

import time

from . import gatewayprocess, provider, soakfleet

WINDOW_S, REPORT_DELAY_S, LEASE_S = 1.0, 4.0, 1.2
BOUNDS = f"""
lease-ms = {int(LEASE_S * 1000)}
report-interval-s = {WINDOW_S}
usage-delay-s = {REPORT_DELAY_S}
fencing-required = false
"""
TABLES = """
[provider]
address = "127.0.0.1:{port}"
duties = ["metering"]
duties-per-s = 20.0
"""


class DutyFleet(soakfleet.SoakFleet):
    """Gateways, engines and a store, and the service that takes reports of usage.

    Attributes:
      provider: The stand-in for that service.
      sent: Reads answered by engines so far.
    """

    def make_more_settings(self):
        """Start the service, and return the settings that name it."""
        self.provider = provider.StandInProvider()
        self.sent = 0
        self.thread.run(self.provider.start())
        tables = TABLES.format(port=self.provider.port)
        return gatewayprocess.MoreSettings(1, BOUNDS, tables)

    def send_reads(self, count, names=None):
        """Send reads to the gateways in turns; each counts once it is answered 200."""
        chosen = [self.gateways[name] for name in names or self.gateways]
        for number in range(count):
            item = chosen[number % len(chosen)]
            answer = self.thread.run(self.send_read_async(item))
            self.sent += answer.status == 200

    def holder(self):
        """Return the gateway that made the last report; empty before the first one."""
        return self.provider.reports[-1].gateway if self.provider.reports else ""

    def accepted(self):
        """Return the accepted counts by window."""
        found = {}
        for item in self.provider.reports:
            if item.accepted:
                found.setdefault(item.window, []).append(item.counts)
        return found

    def total(self):
        """Return the requests in all accepted windows."""
        return sum(sum(counts[0].values()) for counts in self.accepted().values())

    def wait_total(self, count):
        """Wait until so many requests are reported."""
        self.wait(lambda: self.total() >= count, f"{count} requests reported, not {self.total()}")

    def wait_holder(self, but=""):
        """Wait for a report of another gateway than ``but``, and return its name."""
        began = time.monotonic()

        def is_other():
            last = self.provider.reports[-1:]
            return last and last[0].gateway != but and last[0].at > began

        self.wait(is_other, f"a report of another gateway than {but!r}")
        return self.holder()


def find_breaches(reports, lease_s, excused=()):
    """Return what the reports break of the rules on duties.

    Args:
      reports: The reports, in order of arrival.
      lease_s: Time for which a holder keeps the duty.
      excused: Times within which calls do not count, as ``(from, until)``.

    Returns:
      A line for each breach.
    """
    breaches, seen, first, owners = [], [], {}, {}
    for item in reports:
        if any(began <= item.at <= ended for began, ended in excused):
            continue
        if item.accepted and first.setdefault(item.window, item.counts) != item.counts:
            breaches.append(f"window {item.window}: {first[item.window]} and {item.counts}")
        if owners.setdefault(item.token, item.sender) != item.sender:
            breaches.append(f"token {item.token} of {owners[item.token]} and {item.sender}")
        if seen and item.token < max(other.token for other in seen):
            breaches.append(f"token {item.token} after a higher one")
        recent = [other.sender for other in seen if item.at - other.at < lease_s]
        if item.sender in recent and any(
            sender != item.sender for sender in recent[recent.index(item.sender) :]
        ):
            breaches.append(f"{item.sender} acts again within a lease of another")
        seen.append(item)
    return breaches
