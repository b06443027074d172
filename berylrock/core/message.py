"""Messages between an entry process and a sidecar, as immutable types.

``wire/schema.capnp`` has a struct with the same name and fields for each type. An attempt is one
execution of a request on one backend server. All messages about an attempt carry its id.
"""

from typing import NamedTuple

__all__ = [
    "Attach",
    "Bill",
    "BillsStored",
    "BillsLeft",
    "Cancel",
    "Challenge",
    "Chunk",
    "Config",
    "ConfigChange",
    "End",
    "Heartbeat",
    "Hello",
    "Loaded",
    "Message",
    "Order",
    "OrderDone",
    "Outcome",
    "OutcomeLeft",
    "Refused",
    "Report",
    "Start",
    "Strike",
    "Strikes",
    "Welcome",
    "Window",
]


class Challenge(NamedTuple):
    """First frame from the sidecar: a nonce that the entry process must sign."""

    nonce: bytes = b""


class Hello(NamedTuple):
    """Name and availability zone of the entry process, and proof that it has the shared secret."""

    name: str = ""
    zone: str = ""
    proof: bytes = b""


class Welcome(NamedTuple):
    """Acceptance by the sidecar; ``incarnation`` changes each time the sidecar starts."""

    server: str = ""
    incarnation: str = ""


class Heartbeat(NamedTuple):
    """Periodic sign that the entry process is alive, with the configuration version it has."""

    config_version: int = 0


class Report(NamedTuple):
    """State of a backend server, sent every second and after each significant change.

    Attributes:
      config_version: Version of the configuration in force at the sidecar.
      running: Number of requests that the backend server runs.
      queued: Number of requests queued in the sidecar.
      held_tokens: Tokens reserved by the requests that the backend server runs.
      capacity_tokens: Number of tokens that the engine can hold.
      cold: Whether the server is in cold start.
      leaving: Whether the sidecar has been told to stop.
      reachable: Whether the backend server answers.
      fence: The highest fencing number seen.
      entries: Number of entry processes connected to the sidecar.
      slots: Number of requests that could start immediately.
    """

    config_version: int = 0
    running: int = 0
    queued: int = 0
    held_tokens: int = 0
    capacity_tokens: int = 0
    cold: bool = True
    leaving: bool = False
    reachable: bool = False
    fence: int = 0
    entries: int = 0
    slots: int = 0


class Loaded(NamedTuple):
    """Model versions that the engine has loaded, sent after connecting and at each change."""

    versions: tuple[str, ...] = ()


class Start(NamedTuple):
    """Command to run a request.

    Attributes:
      attempt: Id of the attempt.
      request_id: Id of the request.
      organisation: The organisation that sent the request.
      target: ``model@version`` or the name of a plain service.
      method: HTTP method, for a plain service.
      path: Path and query, for a plain service.
      headers: Header lines ``name: value``, for a plain service.
      body: The body as the caller sent it.
      tokens: Tokens to reserve: the length of the prompt plus the maximum length of the answer.
      timeout_ms: Time left until the caller's deadline, in milliseconds.
      priority: Priority in a queue; higher values go first.
      fingerprint: Digest of the request's content, independent of the sender.
      repeatable: Whether the request may run more than once.
      claim: Name of the claim that was stored for a request that runs at most once.
      billing_key: Key of the request's record in the ledger.
      resume_tokens: Number of tokens that the caller already has.
      resume_text: The text that the caller already has.
      config_version: Version of the configuration by which the entry process decided.
    """

    attempt: str = ""
    request_id: str = ""
    organisation: str = ""
    target: str = ""
    method: str = ""
    path: str = ""
    headers: tuple[str, ...] = ()
    body: bytes = b""
    tokens: int = 0
    timeout_ms: int = 0
    priority: int = 0
    fingerprint: str = ""
    repeatable: bool = True
    claim: str = ""
    billing_key: str = ""
    resume_tokens: int = 0
    resume_text: str = ""
    config_version: int = 0


class Refused(NamedTuple):
    """Refusal of an attempt, which was not passed to the backend server and never will be."""

    attempt: str = ""
    reason: str = ""
    detail: str = ""
    config_version: int = 0


class Chunk(NamedTuple):
    """Chunk of an answer.

    Attributes:
      attempt: Id of the attempt.
      offset: Number of chunks of this attempt before this one.
      data: For a model, the JSON array ``choices`` of one event; otherwise bytes of the body.
    """

    attempt: str = ""
    offset: int = 0
    data: bytes = b""


class End(NamedTuple):
    """End of an attempt.

    Attributes:
      attempt: Id of the attempt.
      offset: Total number of chunks in the answer of this attempt.
      outcome: ``done``, or the reason why the answer is incomplete; see ``Outcome``.
      status: HTTP status of a plain service's answer.
      headers: Header lines of a plain service's answer.
      prompt_tokens: Number of tokens in the prompt.
      tokens: Number of tokens generated.
      detail: Human-readable description of the outcome.
      confidence: The engine's own estimate of the answer's quality, from 0 to 1.
    """

    attempt: str = ""
    offset: int = 0
    outcome: str = ""
    status: int = 0
    headers: tuple[str, ...] = ()
    prompt_tokens: int = 0
    tokens: int = 0
    detail: str = ""
    confidence: float = 0.0


class Outcome:
    """Values of ``End.outcome``.

    DONE: the answer is complete.
    CRASHED: the backend server crashed while it ran the request.
    STALLED: the backend server sent nothing for too long.
    PAUSED: the reader was too slow; the run was cancelled and can be resumed.
    CANCELLED: the entry process cancelled the attempt, or no entry process attached in time.
    ERROR: the backend server returned an error.
    """

    DONE = "done"
    CRASHED = "fell"
    STALLED = "stalled"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    ERROR = "error"


class Window(NamedTuple):
    """Acknowledgement that the caller has taken all chunks below ``offset``."""

    attempt: str = ""
    offset: int = 0


class Attach(NamedTuple):
    """Command to continue an attempt on this connection from the chunk at ``offset``."""

    attempt: str = ""
    offset: int = 0


class Cancel(NamedTuple):
    """Command to stop an attempt, or to discard one that has ended."""

    attempt: str = ""


class Config(NamedTuple):
    """Configuration document and its version; an empty body requests the peer's document."""

    version: int = 0
    body: bytes = b""


class Bill(NamedTuple):
    """Billable usage of one step of a request.

    Attributes:
      billing_key: Key of the step; the ledger counts one record per key.
      request_id: Id of the request.
      attempt: Id of the attempt that ran.
      organisation: The organisation that pays.
      target: ``model@version`` or the name of a plain service.
      prompt_tokens: Number of tokens in the prompt.
      tokens: Number of tokens generated.
    """

    billing_key: str = ""
    request_id: str = ""
    attempt: str = ""
    organisation: str = ""
    target: str = ""
    prompt_tokens: int = 0
    tokens: int = 0


class ConfigChange(NamedTuple):
    """Difference between an older and a newer version of the configuration document.

    Attributes:
      base: The older version, which the receiver must have.
      version: The newer version.
      prefix: Length of the common prefix of both versions, in bytes.
      suffix: Length of the common suffix of both versions, in bytes.
      middle: Bytes between prefix and suffix in the newer version.
      digest: SHA-256 of the newer version.
    """

    base: int = 0
    version: int = 0
    prefix: int = 0
    suffix: int = 0
    middle: bytes = b""
    digest: bytes = b""


class BillsStored(NamedTuple):
    """Notice that the bills of these attempts are stored, so that the sidecar may drop them."""

    attempts: tuple[str, ...] = ()


class BillsLeft(NamedTuple):
    """Bills whose entry process is gone; the receiver must store them."""

    bills: tuple[Bill, ...] = ()


class OutcomeLeft(NamedTuple):
    """Answer of a request that runs at most once, whose entry process is gone.

    Attributes:
      attempt: Id of the attempt, which is also the token of its claim.
      claim: Name of the claim in which the receiver must store the answer.
      status: HTTP status of the answer.
      headers: Header lines of the answer.
      body: The answer's body.
    """

    attempt: str = ""
    claim: str = ""
    status: int = 0
    headers: tuple[str, ...] = ()
    body: bytes = b""


class Strike(NamedTuple):
    """Crash of a backend server while it ran a request.

    Attributes:
      fingerprint: Digest of the request's content.
      fall: Server and incarnation that crashed, so that each crash counts once.
    """

    fingerprint: str = ""
    fall: str = ""


class Strikes(NamedTuple):
    """Update about requests that may crash backend servers.

    Attributes:
      strikes: Crashes that the receiver may not know yet.
      cleared: Fingerprints of requests that have been answered since.
    """

    strikes: tuple[Strike, ...] = ()
    cleared: tuple[str, ...] = ()


class Order(NamedTuple):
    """Order to the backend server, given by the holder of a lease.

    Attributes:
      order_id: Id of the order.
      fence: Fencing number of the lease under which it is given.
      verb: ``load`` or ``unload``.
      target: ``model@version``.
    """

    order_id: str = ""
    fence: int = 0
    verb: str = ""
    target: str = ""


class OrderDone(NamedTuple):
    """Result of an order."""

    order_id: str = ""
    accepted: bool = False
    detail: str = ""


Message = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | Report
    | Start
    | Refused
    | Chunk
    | End
    | Window
    | Attach
    | Cancel
    | Config
    | BillsStored
    | BillsLeft
    | OutcomeLeft
    | Strikes
    | Loaded
    | ConfigChange
    | Order
    | OrderDone
)
