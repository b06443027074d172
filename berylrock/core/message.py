"""The messages between an entry process and a sidecar, as immutable types.

Each type has a struct of the same shape in ``wire/schema.capnp``. An attempt is one try to run a
request on one backend server; all frames of an attempt carry its id.
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
    """The sidecar's first frame: a nonce that the entry process must sign."""

    nonce: bytes = b""


class Hello(NamedTuple):
    """The entry process's name and its proof that it holds the shared secret."""

    name: str = ""
    zone: str = ""
    proof: bytes = b""


class Welcome(NamedTuple):
    """The sidecar accepts; ``incarnation`` changes at each start of the sidecar."""

    server: str = ""
    incarnation: str = ""


class Heartbeat(NamedTuple):
    """The entry process is alive and has this version of the configuration."""

    config_version: int = 0


class Report(NamedTuple):
    """The state of a backend server, sent each second and at each change that matters.

    Attributes:
      config_version: Version of the configuration in force at the sidecar.
      running: Requests held.
      queued: Requests that wait in the sidecar.
      held_tokens: Tokens reserved by the requests held.
      capacity_tokens: Tokens that the engine can hold.
      cold: Whether the server is in cold start.
      leaving: Whether the sidecar has been told to stop.
      reachable: Whether the backend server answers.
      fence: The highest fencing number seen.
      entries: Entry processes connected to the sidecar.
      slots: Requests that could start at once.
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
    """The versions that the engine has loaded, sent at first and at each change."""

    versions: tuple[str, ...] = ()


class Start(NamedTuple):
    """Run a request.

    Attributes:
      attempt: Id of the attempt.
      request_id: Id of the request.
      organisation: Whose request it is.
      target: ``model@version`` or the name of a plain service.
      method: HTTP method, for a plain service.
      path: Path and query, for a plain service.
      headers: Header lines ``name: value``, for a plain service.
      body: The body as the caller sent it.
      tokens: Tokens to reserve: prompt and longest answer.
      timeout_ms: Time left until the caller's deadline, in milliseconds.
      priority: Higher goes first in a queue.
      fingerprint: Digest of the request's content, whoever sends it.
      repeatable: Whether the request may run more than once.
      claim: Name of the claim that was stored for a request that runs at most once.
      billing_key: Key of the request's record in the ledger.
      resume_tokens: Tokens that the caller already has.
      resume_text: The text that the caller already has.
      config_version: Version of the configuration that the entry process decided by.
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
    """The attempt was not passed to the backend server, and will not be."""

    attempt: str = ""
    reason: str = ""
    detail: str = ""
    config_version: int = 0


class Chunk(NamedTuple):
    """A piece of an answer.

    Attributes:
      attempt: Id of the attempt.
      offset: Number of pieces of this attempt before this one.
      data: For a model, the JSON array ``choices`` of one event; else bytes of the body.
    """

    attempt: str = ""
    offset: int = 0
    data: bytes = b""


class End(NamedTuple):
    """The end mark of an attempt.

    Attributes:
      attempt: Id of the attempt.
      offset: Number of pieces in the whole answer of this attempt.
      outcome: ``done``, or why the answer is not whole; see ``Outcome``.
      status: HTTP status of a plain service's answer.
      headers: Header lines of a plain service's answer.
      prompt_tokens: Tokens of the prompt.
      tokens: Tokens generated.
      detail: What happened, for people.
      confidence: The engine's own estimate of the answer's quality, 0 to 1.
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

    DONE: the answer is whole.
    CRASHED: the backend server fell while it held the request.
    STALLED: the backend server sent nothing for too long.
    PAUSED: the reader did not read; the run was cancelled and can be resumed.
    CANCELLED: the entry process asked for it, or nobody attached in time.
    ERROR: the backend server answered with an error of its own.
    """

    DONE = "done"
    CRASHED = "fell"
    STALLED = "stalled"
    PAUSED = "paused"
    CANCELLED = "cancelled"
    ERROR = "error"


class Window(NamedTuple):
    """The caller has taken all pieces below ``offset``."""

    attempt: str = ""
    offset: int = 0


class Attach(NamedTuple):
    """Continue an attempt on this connection from a piece onwards."""

    attempt: str = ""
    offset: int = 0


class Cancel(NamedTuple):
    """Stop an attempt, or forget one that has ended."""

    attempt: str = ""


class Config(NamedTuple):
    """A document and its version; an empty body asks the peer for its own."""

    version: int = 0
    body: bytes = b""


class Bill(NamedTuple):
    """What one step of a request cost.

    Attributes:
      billing_key: Key of the step; the ledger counts one record for each.
      request_id: Id of the request.
      attempt: Id of the attempt that ran.
      organisation: Who pays.
      target: ``model@version`` or the name of a plain service.
      prompt_tokens: Tokens of the prompt.
      tokens: Tokens generated.
    """

    billing_key: str = ""
    request_id: str = ""
    attempt: str = ""
    organisation: str = ""
    target: str = ""
    prompt_tokens: int = 0
    tokens: int = 0


class ConfigChange(NamedTuple):
    """The part of a document that differs from an older version.

    Attributes:
      base: The version that the receiver must have.
      version: The version that results.
      prefix: Bytes that both begin with.
      suffix: Bytes that both end with.
      middle: What stands between them in the new version.
      digest: SHA-256 of the new version's bytes.
    """

    base: int = 0
    version: int = 0
    prefix: int = 0
    suffix: int = 0
    middle: bytes = b""
    digest: bytes = b""


class BillsStored(NamedTuple):
    """The bills of these attempts are in the object API; the sidecar may forget them."""

    attempts: tuple[str, ...] = ()


class BillsLeft(NamedTuple):
    """Bills whose entry process went away; the receiver stores them."""

    bills: tuple[Bill, ...] = ()


class OutcomeLeft(NamedTuple):
    """The answer of a request that runs at most once, whose entry process went away.

    Attributes:
      attempt: Id of the attempt, which is also the token of its claim.
      claim: Name of the claim; the receiver stores the answer there.
      status: HTTP status.
      headers: Header lines.
      body: The body.
    """

    attempt: str = ""
    claim: str = ""
    status: int = 0
    headers: tuple[str, ...] = ()
    body: bytes = b""


class Strike(NamedTuple):
    """A request was held by a backend server when that fell.

    Attributes:
      fingerprint: Digest of the request's content.
      fall: Server and incarnation that fell, so that one fall counts once.
    """

    fingerprint: str = ""
    fall: str = ""


class Strikes(NamedTuple):
    """News about requests that may crash backend servers.

    Attributes:
      strikes: Falls not yet known to the receiver.
      cleared: Fingerprints that have since been answered.
    """

    strikes: tuple[Strike, ...] = ()
    cleared: tuple[str, ...] = ()


class Order(NamedTuple):
    """An order to the backend server, valid for the holder of a lease.

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
    """The answer to an order."""

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
