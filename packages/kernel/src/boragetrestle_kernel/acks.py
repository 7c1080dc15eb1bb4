"""Which nodes have put a version in force, as asked at ``/v1/acks``."""

import msgspec

from boragetrestle_kernel.ids import NodeId, Version

ACKS_PATH = '/v1/acks'


class AcksQuestion(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask which live nodes have not reached a version."""

    version: Version


class Acks(msgspec.Struct, frozen=True):
    """Count the nodes that reached a version and name the others.

    ``behind`` names live nodes that run an older version; ``unheard`` names
    live nodes that gave no answer in time.
    """

    version: Version
    reached: int
    behind: tuple[NodeId, ...] = ()
    unheard: tuple[NodeId, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Whether every live node has reached the version.

        >>> Acks(Version(3), 2).is_complete
        True
        """
        return not self.behind and not self.unheard
