"""Names of the platform's headers, kinds and states, with a comment where a name is misleading."""

__all__ = ["SYSTEM_HEADERS"]

REQUEST_ID = b"x-berylrock-attempt-id"
# Remaining milliseconds, not a point in time.
DEADLINE_MS = b"x-berylrock-deadline-ms"
MODEL = b"x-berylrock-model"
# "PROMPT_TOKENS,MAX_OUTPUT_TOKENS": a forecast, not usage.
TOKEN_FORECAST = b"x-berylrock-token-usage"
# "ID:TOKENS,...": the parts of the prompt, not a single hash.
PROMPT_PARTS = b"x-berylrock-prefix-hash"
API_KEY = b"x-api-key"
SESSION = b"session"
LAST_EVENT = b"last-event-id"
ORGANISATION = b"x-berylrock-tenant"
TARGET_ENGINE = b"x-berylrock-target-instance"
SIGNATURE = b"x-berylrock-response-signature"
NOT_RUN = b"x-berylrock-not-executed"
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"
# Requests a second from all gateways together, not from the one that gets the answer.
RATE_LIMIT = b"server-limit"
CONFIDENCE = b"x-berylrock-hint-confidence"
WARMUP_MS = b"x-berylrock-warmup-ms"
ENGINE_PRIORITY = b"x-berylrock-request-priority"

# The gateway that makes a call for a duty, and its token; the duty itself is the call.
DUTY_HOLDER = b"x-berylrock-duty-owner"
DUTY_TOKEN = b"x-berylrock-fencing-token"

# How often the store has come back from an older copy of its contents.
STORE_ERA = b"store-era"

ANY_MODEL = "*"

# Headers that only the system may set. They are dropped from a caller's request.
SYSTEM_HEADERS = frozenset(
    (
        API_KEY,
        ORGANISATION,
        TARGET_ENGINE,
        DEADLINE_MS,
        ENGINE_PRIORITY,
        LAST_EVENT,
        b"x-berylrock-expected-version",
        b"x-berylrock-pin-ms",
        b"x-berylrock-cache-retain",
        b"x-berylrock-kv-replica",
        b"kv-from",
        b"kv-fetch",
        SIGNATURE,
        NOT_RUN,
    )
)

# Headers that apply to a single connection, and are not passed on.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"accept-encoding",
    )
)

CONFIG_KIND, CONFIG_NAME = "config", "main"
ENGINES_KIND = "servers"
ROLLOUTS_KIND = "rollouts"
EVACUATIONS_KIND = "evacuations"
WATCHED_KINDS = (CONFIG_KIND, ENGINES_KIND, ROLLOUTS_KIND, EVACUATIONS_KIND)
# A kind that the gateways write themselves, with one object for each gateway.
PEERS_KIND = "gateways"
RELAYED_KINDS = (*WATCHED_KINDS, PEERS_KIND)

# Kind and name of our own record of who reports usage.
DUTIES_KIND, USAGE_DUTY = "duties", "usage"
# Duties by the platform's names: reports of usage, and orders of engines.
METERING, AUTOSCALING = "metering", "autoscaling"

ROUTE_KINDS = {
    "idempotent": "idempotent",
    "non_idempotent": "non_idempotent",
    "streaming": "stream",
}
# States of rollouts by the platform's names, and the names by state.
ROLLOUT_STATES = {"in_progress": "running", "completed": "completed", "reverted": "reverted"}
ROLLOUT_STATE_NAMES = {state: name for name, state in ROLLOUT_STATES.items()}
STATE_READY, STATE_DRAINING = "ready", "draining"
