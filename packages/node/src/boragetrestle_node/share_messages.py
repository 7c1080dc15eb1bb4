"""Messages about shares of an organisation's rate."""

import msgspec

from boragetrestle_kernel.peer_message import peer_message


@peer_message('share-ask')
class ShareAsk(msgspec.Struct, frozen=True):
    """Ask the holder of a share for a lease of a part of it.

    ``session`` names one process of the asking node, and ``number`` grows with
    each message of a session about a share. ``rate`` and ``burst`` are the
    fractions that the lease has now and ``tokens`` are those in it;
    ``returned`` tokens were taken out of it. ``wanted_rate`` and
    ``wanted_burst`` are the fractions it should have, ``wanted_tokens`` are to
    be added; ``urgent`` is how many tokens waiting calls lack. ``demand`` is
    in calls a second; ``address`` is where the asking node takes messages.
    """

    organisation: str
    share: int
    session: str
    number: int
    address: str
    rate: float = 0
    burst: float = 0
    tokens: float = 0
    returned: float = 0
    wanted_rate: float = 0
    wanted_burst: float = 0
    wanted_tokens: float = 0
    urgent: float = 0
    demand: float = 0

    @property
    def is_return(self) -> bool:
        """Whether the asking node ends its lease."""
        return not self.wanted_rate and not self.wanted_burst


@peer_message('share-grant')
class ShareGrant(msgspec.Struct, frozen=True):
    """Answer a ``ShareAsk``.

    The fractions and tokens are added to the lease; ``is_fresh`` tells that
    what it had before is void. The lease holds for ``validity`` seconds from
    when it was asked for, and should be asked for again after ``interval``
    seconds. ``is_scarce`` tells that the holder's reserve of burst is partly
    used, so unused burst must be returned at once; ``room`` is how many tokens
    the lease may hold.
    ``holder`` is the address of another node that holds the share.
    """

    rate: float = 0
    burst: float = 0
    tokens: float = 0
    validity: float = 0
    interval: float = 0
    is_fresh: bool = False
    is_scarce: bool = False
    room: float = 0
    holder: str = ''


@peer_message('share-recall')
class ShareRecall(msgspec.Struct, frozen=True):
    """Ask a node to lower its lease; ``rate`` is the most it may keep."""

    organisation: str
    share: int
    rate: float
