"""Print which nodes have put a version in force."""

import msgspec

from boragetrestle.exit_code import ExitCode
from boragetrestle.output import print_json, print_line
from boragetrestle_kernel.acks import Acks


def report_acks(acks: Acks, *, json: bool) -> ExitCode:
    """Print the acknowledgements and return the exit code."""
    if json:
        print_json(msgspec.to_builtins(acks))
    else:
        print_line(f'accepted as version {acks.version}')
        print_line(f'in force on {acks.reached} nodes')
        for state, nodes in (
            ('behind', acks.behind),
            ('unheard', acks.unheard),
        ):
            if nodes:
                print_line(f'{state}: {", ".join(nodes)}')
    return ExitCode.DONE if acks.is_complete else ExitCode.NOT_EVERYWHERE
