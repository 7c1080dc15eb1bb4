"""Faults of the in-memory network."""

import pytest
import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.memory_network import HostNetwork, MemoryNetwork

_ADDRESS = Address('10.0.0.2', 80)
_NEAR = '10.0.0.1'
_WAIT_SECONDS = 5


async def _connect(network):
    listener = await network.listen(_ADDRESS)
    near = await HostNetwork(network, _NEAR).dial(_ADDRESS)
    return near, await listener.accept()


async def _receive_or_none(stream):
    with trio.move_on_after(_WAIT_SECONDS):
        return await stream.receive_some()
    return None


async def test_delay_holds_bytes_one_way(autojump_clock):
    near, far = await _connect(MemoryNetwork(delay=0.25))
    started = trio.current_time()
    await near.send_all(b'late')
    assert await _receive_or_none(far) == b'late'
    assert trio.current_time() - started == pytest.approx(0.25)


async def test_partition_stalls_and_heal_delivers(autojump_clock):
    network = MemoryNetwork()
    near, far = await _connect(network)
    network.faults.partition([_NEAR], [_ADDRESS.host])
    await near.send_all(b'kept')
    assert await _receive_or_none(far) is None
    network.faults.heal()
    assert await _receive_or_none(far) == b'kept'


async def test_loss_may_hold_one_way_only(autojump_clock):
    network = MemoryNetwork()
    near, far = await _connect(network)
    network.faults.lose(lambda source, _destination: source == _NEAR)
    await near.send_all(b'lost')
    await far.send_all(b'arrives')
    assert await _receive_or_none(near) == b'arrives'
    assert await _receive_or_none(far) is None


async def test_frozen_host_neither_sends_nor_receives(autojump_clock):
    network = MemoryNetwork()
    near, far = await _connect(network)
    network.faults.freeze(_NEAR)
    await near.send_all(b'a')
    await far.send_all(b'b')
    assert await _receive_or_none(far) is None
    assert await _receive_or_none(near) is None
    network.faults.thaw(_NEAR)
    assert await _receive_or_none(far) == b'a'
    assert await _receive_or_none(near) == b'b'


async def test_dial_waits_on_a_stalled_path(autojump_clock):
    network = MemoryNetwork()
    await network.listen(_ADDRESS)
    network.faults.freeze(_ADDRESS.host)
    with pytest.raises(trio.TooSlowError):
        with trio.fail_after(_WAIT_SECONDS):
            await network.dial(_ADDRESS)


async def test_closed_end_is_seen_by_the_other(autojump_clock):
    near, far = await _connect(MemoryNetwork())
    await near.send_all(b'last')
    await near.aclose()
    assert await _receive_or_none(far) == b'last'
    assert await _receive_or_none(far) == b''
    with pytest.raises(trio.BrokenResourceError):
        await far.send_all(b'x')
