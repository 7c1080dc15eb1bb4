"""Describe an unexpected exception in a log line."""

import traceback

MAX_TRACE_ENTRIES = 6


def failure_trace(error: BaseException) -> list[str]:
    """Return the last entries of an exception's traceback."""
    return traceback.format_exception(error)[-MAX_TRACE_ENTRIES:]
