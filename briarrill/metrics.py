"""briarrill.metrics: counters and gauges, each a decision or a level."""

from prometheus_client import Counter, Gauge

__all__ = (
    'ADMITTED',
    'ALLOWANCE_CALLS',
    'BATCH_COMMITS',
    'BATCH_ITEMS',
    'CANCELLED',
    'CONFIG_EXCHANGES',
    'CONFIG_VERSION',
    'DUPLICATES',
    'EJECTED',
    'KEY_VALUE_CALLS',
    'LOG_LINES_DROPPED',
    'MALFORMED_MESSAGES',
    'PREEMPTED',
    'REFUSED',
    'RESUMED',
    'RETRIED',
    'STALE_MESSAGES',
)

ALLOWANCE_CALLS = Counter(
    'briarrill_allowance_calls',
    'Calls to the holders of contracts, by outcome.',
    ('outcome',),
)
ADMITTED = Counter(
    'briarrill_admitted', 'Requests admitted to run.', ('queue',)
)
REFUSED = Counter(
    'briarrill_refused', 'Requests refused, by result code.', ('code',)
)
RETRIED = Counter(
    'briarrill_retried', 'Attempts repeated at another upstream.'
)
CANCELLED = Counter('briarrill_cancelled', 'Requests whose caller went away.')
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
    'briarrill_malformed_messages', 'Messages that were dropped.'
)
STALE_MESSAGES = Counter(
    'briarrill_stale_messages', 'Messages of an ended session or call.'
)
BATCH_ITEMS = Counter(
    'briarrill_batch_items', 'Batch items finished, by result code.', ('code',)
)
BATCH_COMMITS = Counter(
    'briarrill_batch_commits', 'Result segments committed.', ('outcome',)
)
EJECTED = Counter(
    'briarrill_ejected', 'Upstreams left out, by reason.', ('reason',)
)
LOG_LINES_DROPPED = Counter(
    'briarrill_log_lines_dropped', 'Log lines that were left out.'
)
KEY_VALUE_CALLS = Counter(
    'briarrill_key_value_calls', 'Calls to the key-value service.', ('call',)
)
CONFIG_VERSION = Gauge(
    'briarrill_config_version', 'Configuration version in force.'
)
CONFIG_EXCHANGES = Counter(
    'briarrill_config_exchanges',
    'Exchanges of configuration versions with neighbours.',
    ('outcome',),
)
