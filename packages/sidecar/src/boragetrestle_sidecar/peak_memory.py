"""Read the largest resident memory of this process."""

import resource
import sys

# Linux reports kilobytes, macOS bytes.
_UNIT_BYTES = 1 if sys.platform == 'darwin' else 1024


def peak_memory_bytes() -> int:
    """Return the largest resident memory of this process so far, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _UNIT_BYTES
