"""Requests and runs for the tests of the soak's own checks."""

from soak_witness import Run, Sent


def sent(status: int = 200, **changes: object) -> Sent:
    """Return an unsafe request."""
    known: dict[str, object] = {
        'request_id': 'r',
        'node': 1,
        'sent_at': 50.0,
        'may_repeat': False,
        'key': 'key-1',
        'status': status,
        'is_whole': True,
    }
    return Sent(**{**known, **changes})  # type: ignore[arg-type]


def run(**changes: object) -> Run:
    """Return a run of it."""
    known: dict[str, object] = {
        'request_id': 'r',
        'target': 't',
        'started_at': 50.0,
        'organisation': 'org-1',
        'had_key': False,
    }
    return Run(**{**known, **changes})  # type: ignore[arg-type]
