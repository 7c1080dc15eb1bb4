"""Messages of ``/v1/acks``: which nodes run a configuration version."""

import msgspec

from boragetrestle_kernel.ids import NodeId, Version

ACKS_PATH = '/v1/acks'


class AcksRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask which live nodes run an older configuration version."""

    version: Version


class Acks(msgspec.Struct, frozen=True):
    """List the live nodes that have not confirmed a version.

    ``reached`` counts the nodes that run the version or a later one.
    ``behind`` names live nodes that run an older one; ``unheard`` names live
    nodes that did not answer in time.
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
