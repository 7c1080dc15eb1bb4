"""What a node has seen of the targets that it calls."""

from collections.abc import Container

import trio

from boragetrestle_kernel.ids import TargetId
from boragetrestle_node.target_view import RAMP_SECONDS, TargetView


class TargetBook:
    """Hold a view of each target called, from passive evidence only.

    Targets known since the node started count as warm; others ramp up.
    """

    def __init__(self) -> None:
        self.views: dict[TargetId, TargetView] = {}
        self.warm: set[TargetId] = set()

    def view(self, target: TargetId) -> TargetView:
        """Return the view of a target, a fresh one if there is none."""
        view = self.views.get(target)
        if view is None:
            view = TargetView(ramp_from=self._ramp_start(target))
            self.views[target] = view
        return view

    def load_of(self, target: TargetId) -> float:
        """Return the calls of this node that run at a target."""
        view = self.views.get(target)
        return view.in_flight if view else 0

    def start(self, target: TargetId) -> None:
        """Count an attempt that begins."""
        view = self.view(target)
        view.in_flight += 1
        view.peak_in_flight = max(view.peak_in_flight, view.in_flight)

    def end(self, target: TargetId) -> None:
        """Count an attempt that ended in any way."""
        view = self.view(target)
        view.in_flight -= 1
        view.is_on_trial = False

    def forget_absent(self, present: Container[TargetId]) -> None:
        """Drop idle views of targets that have left."""
        gone = [
            target
            for target, view in self.views.items()
            if target not in present and not view.in_flight
        ]
        for target in gone:
            self.views.pop(target)
            self.warm.discard(target)

    def _ramp_start(self, target: TargetId) -> float:
        now = trio.current_time()
        return now - RAMP_SECONDS if target in self.warm else now
