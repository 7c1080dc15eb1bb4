"""Tell the story of a request from the lines that nodes wrote."""

import json
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

# Changes of what a node believed this long before the request's first line may
# have decided it.
BEFORE_SECONDS = 3.0
CHANGES = frozenset((
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
    'target-unreachable',
))
_HIDDEN = frozenset(('message_type', 'request', 'timestamp'))
_ELIOT = 'task_'


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
            if name not in _HIDDEN and not name.startswith(_ELIOT)
        }


def read_log(path: Path) -> list[LogLine]:
    """Return the lines of one node; other lines are passed over.

    The node is named by its ``started`` line, or else by the file.
    """
    lines: list[LogLine] = []
    node = path.stem
    for text in path.read_text(errors='replace').splitlines():
        fields = _decode(text)
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
    """Return the lines about a request with the changes before it, by time.

    Of each node and kind of change the last one before the request ended is
    taken.
    """
    every = [line for log in logs for line in log]
    own = [line for line in every if line.fields.get('request') == request]
    if not own:
        return []
    first = min(line.time for line in own) - BEFORE_SECONDS
    last = max(line.time for line in own)
    changes = {
        (line.node, line.kind): line
        for line in sorted(every, key=_time)
        if line.kind in CHANGES and first <= line.time <= last
    }
    return sorted([*changes.values(), *own], key=_time)


def _decode(text: str) -> dict[str, Any]:
    start = text.find('{')
    if start < 0:
        return {}
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return {}
    return fields if 'message_type' in fields else {}


def _time(line: LogLine) -> float:
    return line.time
