"""Rollout aggregator: sums the reports of a failure domain's gates.

Designed for 140 gates of a service in a failure domain, each reporting four
times a second at most.
"""

import dataclasses
import itertools

from jujubefold.sidecar import rollout

TABLE = 'jujubefold-rollout-evidence'
# Seconds without a report after which a gate whose daemon is not reachable
# counts as gone. Until then it may still run requests of callers on its VM.
GONE_AFTER_S = 10.0


@dataclasses.dataclass(slots=True)
class _Received:
    report: rollout.GateReport
    at: float


@dataclasses.dataclass(slots=True)
class ReportTable:
    """The latest report of each gate of the failure domain.

    Args:
        order: `rollout.OrderId` of the reports, by service.
        reports: Latest report by service, then by VM, incarnation and
            version.
        written: Number of the last sum.
    """

    order: dict[str, rollout.OrderId] = dataclasses.field(default_factory=dict)
    reports: dict[str, dict] = dataclasses.field(default_factory=dict)
    written: int = 0


def record_report(table, report, now):
    """Take over a gate's report, unless a later one is known.

    Args:
        table: A `ReportTable`.
        report: A `rollout.GateReport`.
        now: Seconds of `boottime`.
    """
    service = report.service
    order = table.order.get(service)
    if order is not None and report.order < order:
        return
    if order != report.order:
        table.order[service] = report.order
        table.reports[service] = {}
    reports = table.reports[service]
    key = (report.vm, report.incarnation, report.is_new)
    known = reports.get(key)
    if known is not None and _progress(report) < _progress(known.report):
        return
    reports[key] = _Received(report, now)


def forget(table, service):
    """Forget a service's reports, because its order has ended.

    Args:
        table: A `ReportTable`.
        service: Name of the service.
    """
    table.order.pop(service, None)
    table.reports.pop(service, None)


def evidence(table, state, reachable, members, aggregator, now):
    """Return the `rollout.Evidence` of a running order, or None.

    Gates of daemons that restarted or are gone keep their counts in it, but
    neither slots nor running requests.

    Args:
        table: A `ReportTable`.
        state: The `rollout.State` of the order.
        reachable: VMs of the daemons that are reachable.
        members: VMs of all daemons.
        aggregator: `vm/incarnation` of this daemon.
        now: Seconds of `boottime`.
    """
    order = state.order
    service = state.service
    if order is None or table.order.get(service) != order.id:
        return None
    received = table.reports[service]
    latest = {}
    for vm, incarnation, _ in received:
        latest[vm] = max(latest.get(vm, 0), incarnation)
    new, old, present = [], [], []
    # The current version of an upstream is that of the last report.
    newest = {}
    for key, item in received.items():
        vm = key[0]
        if vm not in newest or item.at >= received[newest[vm]].at:
            newest[vm] = key
    for key, item in sorted(received.items()):
        vm, incarnation, is_new = key
        is_present = (
            incarnation == latest[vm]
            and newest[vm] == key
            and (
                vm in reachable
                or (vm in members and now - item.at <= GONE_AFTER_S)
            )
        )
        report = item.report if is_present else _without_gate(item.report)
        (new if is_new else old).append(report)
        if is_present and not is_new:
            present.append(report)
    table.written += 1
    return rollout.Evidence(
        order.id,
        tuple(new),
        total(old, order.id, service),
        len(present),
        sum(not item.closed or item.running > 0 for item in present),
        aggregator,
        0 if state.record is None else state.record.step,
        table.written,
    )


def total(reports, order, service):
    """Return the sum of reports as one `rollout.GateReport`.

    Args:
        reports: `rollout.GateReport` of each gate of the old version.
        order: The `rollout.OrderId`.
        service: Name of the service.
    """
    routes = {}
    for item in itertools.chain.from_iterable(r.routes for r in reports):
        known = routes.get(item.route)
        if known is None:
            if len(routes) < rollout.MAX_ROUTES:
                routes[item.route] = item
            continue
        routes[item.route] = rollout.RouteCounts(
            item.route,
            known.ended + item.ended,
            known.bad + item.bad,
            tuple(map(sum, zip(known.durations, item.durations, strict=True))),
        )
    return rollout.GateReport(
        order,
        service,
        '',
        0,
        False,
        sum(item.slots for item in reports),
        sum(item.started for item in reports),
        sum(item.ended for item in reports),
        sum(item.bad for item in reports),
        sum(item.running for item in reports),
        bool(reports) and all(item.closed for item in reports),
        any(item.tripped for item in reports),
        all(item.warm for item in reports),
        tuple(routes.values()),
    )


def _without_gate(report):
    """Return the counts of a gate that is gone."""
    return rollout.GateReport(
        report.order,
        report.service,
        report.vm,
        report.incarnation,
        report.is_new,
        started=report.started,
        ended=report.ended,
        bad=report.bad,
        closed=True,
        tripped=report.tripped,
        routes=report.routes,
    )


def _progress(report):
    """Return a number that never decreases from one report to the next."""
    return report.started + report.ended
