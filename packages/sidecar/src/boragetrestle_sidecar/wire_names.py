"""Header names, which the platform's adapter supplies."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WireNames:
    """Header names in lower case, as bytes.

    In ``rate_limit`` a target names the requests a second that it takes from
    all nodes together; ``leaving`` is ``1`` in the answers of one that leaves.
    ``stated_load`` holds its runs, waiting runs, slots and perhaps its slowdown.
    ``key_scheme`` is no header but the scheme before a key in the
    authorization header.
    """

    request_id: bytes
    time_left: bytes
    target_answer_marker: bytes
    organisation: bytes
    expected_target: bytes
    not_run: bytes
    rate_limit: bytes
    leaving: bytes
    caller_service: bytes
    stated_load: bytes
    key_scheme: bytes
