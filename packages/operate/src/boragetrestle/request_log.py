"""Select the log lines of nodes that explain one request."""

import json
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

# Changes of a node's state up to this long before the first line of a request
# may have affected it.
LOOKBACK_SECONDS = 3.0
STATE_CHANGE_KINDS = frozenset((
    'admission-planned',
    'configuration-applied',
    'guard-turned',
    'members-changed',
    'peer-lost',
    'peer-silent',
    'started',
    'stopping',
    'store-lost',
    'store-regained',
    'target-found',
    'target-left',
    'target-left-unreported',
    'target-unreachable',
))
_HIDDEN_FIELDS = frozenset(('message_type', 'request', 'timestamp'))
_ELIOT_FIELD_PREFIX = 'task_'


class LogLine(NamedTuple):
    """One line of a node's log; ``time`` is seconds since the epoch."""

    node: str
    time: float
    kind: str
    fields: dict[str, Any]

    @property
    def shown_fields(self) -> dict[str, Any]:
        """The inputs and the outcome of the decision."""
        return {
            name: found
            for name, found in self.fields.items()
            if name not in _HIDDEN_FIELDS
            and not name.startswith(_ELIOT_FIELD_PREFIX)
        }


def read_log(path: Path) -> list[LogLine]:
    """Return the log lines of one node; skip lines in other formats.

    The node's name is that in its ``started`` line, or else the file's stem.
    """
    lines: list[LogLine] = []
    node = path.stem
    for text in path.read_text(errors='replace').splitlines():
        fields = _parse_line(text)
        if not fields:
            continue
        if fields['message_type'] == 'started':
            node = str(fields.get('node', node))
        time = float(fields.get('timestamp', 0))
        lines.append(LogLine(node, time, fields['message_type'], fields))
    return lines


def explain_request(
    request: str,
    logs: Iterable[Sequence[LogLine]],
) -> list[LogLine]:
    """Return the lines of a request and the changes before it, by time.

    For each node and kind of change, only the last one before the request
    ended is included.
    """
    all_lines = [line for log in logs for line in log]
    request_lines = [
        line for line in all_lines if line.fields.get('request') == request
    ]
    if not request_lines:
        return []
    first = min(line.time for line in request_lines) - LOOKBACK_SECONDS
    last = max(line.time for line in request_lines)
    changes = {
        (line.node, line.kind): line
        for line in sorted(all_lines, key=_time_of)
        if line.kind in STATE_CHANGE_KINDS and first <= line.time <= last
    }
    return sorted([*changes.values(), *request_lines], key=_time_of)


def _parse_line(text: str) -> dict[str, Any]:
    start = text.find('{')
    if start < 0:
        return {}
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return {}
    return fields if 'message_type' in fields else {}


def _time_of(line: LogLine) -> float:
    return line.time
