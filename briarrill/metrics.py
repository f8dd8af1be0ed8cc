"""briarrill.metrics: Prometheus counters and gauges of all processes."""

from prometheus_client import Counter, Gauge

__all__ = (
    'ADMITTED',
    'ALLOWANCE_CALLS',
    'BATCH_COMMITS',
    'BATCH_ITEMS',
    'CALLERS_RELEASED',
    'CANCELLED',
    'CONFIG_EXCHANGES',
    'CONFIG_VERSION',
    'DUPLICATES',
    'EJECTED',
    'ENDED_BY_CLOSE',
    'KEY_VALUE_CALLS',
    'KEY_VALUE_WRITES_REFUSED',
    'LOG_LINES_DROPPED',
    'MALFORMED_MESSAGES',
    'PLACES',
    'PREEMPTED',
    'QUARANTINED_PARTS',
    'REFUSED',
    'REFUSED_BY_RATE',
    'RESUMED',
    'RETRIED',
    'START_RULINGS',
    'STALE_MESSAGES',
    'UNEXPECTED_ERRORS',
    'UPSTREAM_CRASHES',
    'WAITING_ITEMS',
    'WAITING_REQUESTS',
)

_BY_OUTCOME = ('outcome',)

ALLOWANCE_CALLS = Counter(
    'briarrill_allowance_calls',
    'Calls to the processes that lend allowances, by outcome.',
    _BY_OUTCOME,
)
ADMITTED = Counter(
    'briarrill_admitted',
    'Requests admitted for execution, by queue.',
    ('queue',),
)
PLACES = Counter(
    'briarrill_places',
    'Questions for places at upstreams to their lenders, by outcome.',
    _BY_OUTCOME,
)
REFUSED = Counter(
    'briarrill_refused', 'Requests refused, by result code.', ('code',)
)
REFUSED_BY_RATE = Counter(
    'briarrill_refused_by_rate',
    'Requests over the rate limit of their customer, by customer.',
    ('customer',),
)
START_RULINGS = Counter(
    'briarrill_start_rulings',
    'Requests that met a lack of slots, by what became of them.',
    ('ruling',),
)
WAITING_REQUESTS = Gauge(
    'briarrill_waiting_requests',
    'Requests held until a slot is free, by rank.',
    ('rank',),
)
RETRIED = Counter('briarrill_retried', 'Attempts retried at another upstream.')
CALLERS_RELEASED = Counter(
    'briarrill_callers_released',
    'Requests, responses and connections given up so that others are served,'
    ' by reason.',
    ('reason',),
)
CANCELLED = Counter(
    'briarrill_cancelled', 'Requests whose caller disconnected.'
)
PREEMPTED = Counter(
    'briarrill_preempted', 'Batch streams cancelled for online requests.'
)
RESUMED = Counter(
    'briarrill_resumed', 'Batch streams resumed where they stopped.'
)
DUPLICATES = Counter(
    'briarrill_duplicates', 'Requests and items received more than once.'
)
MALFORMED_MESSAGES = Counter(
    'briarrill_malformed_messages',
    'Malformed messages that were dropped.',
)
STALE_MESSAGES = Counter(
    'briarrill_stale_messages',
    'Messages of an ended session or call.',
)
BATCH_ITEMS = Counter(
    'briarrill_batch_items', 'Batch items finished, by result code.', ('code',)
)
BATCH_COMMITS = Counter(
    'briarrill_batch_commits',
    'Commits of result segments, by outcome.',
    _BY_OUTCOME,
)
EJECTED = Counter(
    'briarrill_ejected',
    'Upstreams ejected from routing, by reason.',
    ('reason',),
)
ENDED_BY_CLOSE = Counter(
    'briarrill_ended_by_close',
    'Streams of upstreams without a length or chunks, by where the connection'
    ' closed.',
    ('position',),
)
UNEXPECTED_ERRORS = Counter(
    'briarrill_unexpected_errors',
    'Errors that ended the task of one connection or run; each is a defect.',
)
UPSTREAM_CRASHES = Counter(
    'briarrill_upstream_crashes',
    'Upstreams that ended while they ran prompts of this process.',
)
QUARANTINED_PARTS = Gauge(
    'briarrill_quarantined_prompt_parts',
    'Prompt parts that are not sent to upstreams, since several ended with'
    ' them.',
)
WAITING_ITEMS = Gauge(
    'briarrill_waiting_items',
    'Open items that run at no process, by why this one does not start them.',
    ('reason',),
)
LOG_LINES_DROPPED = Counter(
    'briarrill_log_lines_dropped',
    'Log lines that were dropped.',
)
KEY_VALUE_CALLS = Counter(
    'briarrill_key_value_calls',
    'Calls to the key-value service, by kind.',
    ('call',),
)
KEY_VALUE_WRITES_REFUSED = Counter(
    'briarrill_key_value_writes_refused',
    'Writes that the key-value service refuses whenever they are repeated.',
)
UNEVEN_UPSTREAMS = Gauge(
    'briarrill_uneven_upstreams',
    'Upstreams that are known to be slower or faster than is usual for their'
    ' service.',
    ('service', 'speed'),
)
MEMORY_REFUSED = Counter(
    'briarrill_memory_refused',
    'Requests that were placed elsewhere, since the owner of an upstream said'
    ' that its memory is full.',
)
CONFIG_VERSION = Gauge(
    'briarrill_config_version', 'Configuration version in force.'
)
CONFIG_EXCHANGES = Counter(
    'briarrill_config_exchanges',
    'Exchanges of configuration versions with neighbours.',
    _BY_OUTCOME,
)
