"""The command that runs the example services texts."""

import trio

from boragetrestle.commands import command
from boragetrestle.exit_code import ExitCode
from boragetrestle.output import print_json, print_line, print_table
from boragetrestle.trial import Trial, TrialReport

_EXAMPLES = ('caroni', 'kalahari')
_STEPS = ('step', 'organisation', 'outcomes')
_EVENTS = ('node', 'event', 'reason', 'organisation', 'subject')


@command('trial')
def trial(*, json: bool = False) -> int:
    """Run both example texts on an embedded platform and show the calls.

    Exits with 1 if an expectation is not met.

    Example: boragetrestle trial

    :param json: print JSON
    """
    reports = [trio.run(_run_trial, name) for name in _EXAMPLES]
    for report in reports:
        if json:
            print_json(report._asdict())
        else:
            _print_report(report)
    has_failed = any(report.failures for report in reports)
    return ExitCode.DIFFERENT if has_failed else ExitCode.DONE


async def _run_trial(name: str) -> TrialReport:
    """Build and run a trial inside trio, whose clock its nodes read."""
    return await Trial(name).run()


def _print_report(report: TrialReport) -> None:
    rows = [
        (
            row.step,
            row.organisation,
            ', '.join(
                f'{outcome}: {count}'
                for outcome, count in sorted(row.outcomes.items())
            ),
        )
        for row in report.rows
    ]
    print_table(report.name, _STEPS, rows)
    print_table('from the time line', _EVENTS, report.events)
    for failure in report.failures:
        print_line(f'expectation not met: {failure}')
