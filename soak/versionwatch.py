"""Version watch: checks the version that each daemon has in force."""

import asyncio
import re

from tests import sidecars

POLL_INTERVAL_S = 0.2
# Seconds without a fault on a VM, and on the store, after which its daemon
# has to have versions in force in time.
CALM_S = 3.0
# Seconds after its publication within which a version is in force, and what
# this machine may add when it is busy.
APPLY_S = 2.0
MACHINE_MARGIN_S = 1.0

_IN_FORCE = re.compile(rb'^jujubefold_version_in_force ([0-9]+)', re.MULTILINE)


class VersionWatch:
    """Polls all daemons of a testbed and notes violations.

    Args:
        testbed: A `testbed.Testbed`.

    Attributes:
        violations: One line for each violation: a version that is not in
            force in time, or one below another of the same process.
        checked: Number of times that a daemon had to be in time.
    """

    def __init__(self, testbed):
        self.violations = []
        self.checked = 0
        self._testbed = testbed
        self._highest = {}

    async def run(self):
        """Poll all VMs until cancelled."""
        await asyncio.gather(*(self._watch(vm) for vm in self._testbed.vms))

    async def _watch(self, vm):
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            process = vm.process_id
            asked_at = asyncio.get_running_loop().time()
            number = await _version_in_force(vm)
            if number is not None and process == vm.process_id:
                self._check_order(vm, process, number)
                self._check_time(vm, number, asked_at)

    def _check_order(self, vm, process, number):
        before = self._highest.get(process, 0)
        self._highest[process] = max(before, number)
        if number < before:
            self.violations.append(
                f'backward: {vm.name} went from version {before} to {number}'
            )

    def _check_time(self, vm, number, asked_at):
        if not self._must_be_in_time(vm, asked_at - CALM_S):
            return
        self.checked += 1
        due = self._testbed.newest_before(
            asked_at - APPLY_S - MACHINE_MARGIN_S
        )
        if number < due:
            self.violations.append(
                f'late: {vm.name} has version {number}; {due} was published '
                f'over {APPLY_S + MACHINE_MARGIN_S} s ago'
            )

    def _must_be_in_time(self, vm, calm_since):
        """Return whether nothing excuses a VM.

        A VM that is cut off from the store alone is told by others, as long
        as the store and one of them are without faults.
        """
        return (
            vm.calm.since(calm_since)
            and self._testbed.calm.since(calm_since)
            and any(
                item.calm.since(calm_since)
                and item.store_calm.since(calm_since)
                for item in self._testbed.vms
            )
        )


async def _version_in_force(vm):
    """Return the number in a daemon's metrics, or None without an answer."""
    try:
        async with asyncio.timeout(1.0):
            answer = await sidecars.request(
                vm.metrics, 'GET', '/metrics', {'Host': 'x'}
            )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    match = _IN_FORCE.search(answer.body)
    return None if match is None else int(match[1])
