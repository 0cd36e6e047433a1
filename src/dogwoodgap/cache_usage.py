"""Counters of held and wasted engine cache, from the engines' load reports."""

import collections.abc

from dogwoodgap import backend_messages, metrics, structures


class CacheUsage:
    """Turns the engines' cumulative totals into counters.

    Parameters
    ----------
    is_counted : callable
        Returns whether this node counts a runner; exactly one node should count each runner.
    """

    def __init__(self, is_counted: collections.abc.Callable[[structures.RunnerView], bool]):
        self.is_counted = is_counted
        self.last_reports: dict[str, backend_messages.LoadReport] = {}

    def record_report(
        self, view: structures.RunnerView, report: backend_messages.LoadReport
    ) -> None:
        """Count the increase since the last report; the first report is only a baseline.

        A node that starts counting a runner does not know what another node counted before.
        """
        key = structures.runner_key(view)
        if not self.is_counted(view):
            self.last_reports.pop(key, None)
            return
        previous = self.last_reports.get(key)
        self.last_reports[key] = report
        if previous is None:
            return
        if report.held_token_s < previous.held_token_s:
            # The engine has restarted and counts from zero.
            previous = backend_messages.LoadReport()
        metrics.count("cache.held", int(report.held_token_s) - int(previous.held_token_s))
        wasted = int(report.wasted_token_s) - int(previous.wasted_token_s)
        metrics.count("cache.wasted", max(0, wasted))
