"""A node that starts uses no configuration that others know to be old."""

from path_builders import LineLog, ManualClock, configuration

from boragetrestle_sidecar.config_keeper import (
    PEER_FETCH_DELAY_SECONDS,
    PEER_FETCH_INTERVAL_SECONDS,
    ConfigKeeper,
)
from boragetrestle_sidecar.configuration import Configuration
from boragetrestle_sidecar.first_configuration import (
    CONFIRMATION_WAIT_SECONDS,
    FirstConfiguration,
)


class Starting:
    """A node that has just started, and the versions that it uses."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.keeper = ConfigKeeper(
            lambda document: configuration(version=int(document)),
            LineLog(self.clock),
            clock=self.clock,
        )
        self.used: list[int] = []
        self.first = FirstConfiguration(self.keeper, self.use)
        self.keeper.subscribers.append(self.first.apply)

    def use(self, newest: Configuration) -> None:
        """Record a version that is in use."""
        self.used.append(newest.version)


def test_older_copy_of_the_store_is_not_used() -> None:
    """A key withdrawn by version 6 would be valid again with version 5."""
    node = Starting()
    node.keeper.apply_if_newer(b'5', source='store')
    node.first.compare(6)
    assert not node.used
    node.keeper.apply_if_newer(b'6', source='peer')
    assert node.used == [6]


def test_peer_that_is_heard_before_the_store_counts() -> None:
    """Its version comes with the first message on a link."""
    node = Starting()
    node.first.compare(6)
    node.keeper.apply_if_newer(b'5', source='store')
    assert not node.used
    node.keeper.apply_if_newer(b'6', source='store')
    assert node.used == [6]


def test_peer_without_a_configuration_confirms_none() -> None:
    """It has just started itself."""
    node = Starting()
    node.keeper.apply_if_newer(b'5', source='store')
    node.first.compare(0)
    assert not node.used


def test_node_without_peers_uses_what_the_store_has() -> None:
    """All others may be gone for good."""
    node = Starting()
    node.keeper.apply_if_newer(b'5', source='store')
    node.first.check_wait()
    assert not node.used
    node.clock.now += CONFIRMATION_WAIT_SECONDS + 0.1
    node.first.check_wait()
    assert node.used == [5]


def test_later_versions_are_used_at_once() -> None:
    """Only the first one waits."""
    node = Starting()
    node.first.compare(5)
    node.keeper.apply_if_newer(b'5', source='store')
    node.keeper.apply_if_newer(b'8', source='store')
    node.keeper.apply_if_newer(b'7', source='peer')
    assert node.used == [5, 8]


def test_one_peer_is_asked_for_a_missing_version() -> None:
    """At 194 nodes all asked all others, and each got the document often."""
    node = Starting()
    node.keeper.apply_if_newer(b'5', source='store')
    asked = [node.keeper.should_request(9) for _ in range(100)]
    node.clock.now += PEER_FETCH_DELAY_SECONDS + 0.01
    asked += [node.keeper.should_request(9) for _ in range(100)]
    assert sum(asked) == 1
    node.clock.now += PEER_FETCH_INTERVAL_SECONDS + 0.01
    assert node.keeper.should_request(9)


def test_node_without_any_configuration_asks_at_once() -> None:
    """It refuses all requests until it has one."""
    node = Starting()
    assert node.keeper.should_request(9)
    assert not node.keeper.should_request(9)
