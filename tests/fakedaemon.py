"""Fake daemon: the real operators' HTTP API over in-memory stores."""

import asyncio
import threading
import types

import msgspec

from jujubefold import adminapi
from jujubefold import adminserver
from jujubefold import clock
from jujubefold import events
from jujubefold import gate
from jujubefold import hlc
from jujubefold import identity
from jujubefold import membership
from jujubefold import metrics
from jujubefold import objectstore
from jujubefold import table
from jujubefold import timeline
from jujubefold import versionstore

SUBMIT_TIMEOUT_S = 5.0
LOCAL = '127.0.0.1:0'


class FakeDaemon:
    """Replaces the runtime of one daemon behind the operators' HTTP API.

    When `failure` is set, `submit` returns it although the patch was
    accepted. `distributes` selects whether accepted versions reach the other
    members.

    Args:
        vm: Its VM name.
        wall: Time of its clock, in seconds since the epoch.
    """

    def __init__(self, vm='vm-1', wall=1_700_000_000.0):
        paused_clock = clock.PausedClock(wall=wall)
        own_identity = identity.Identity(
            vm, 'wa', 'perth', LOCAL, LOCAL, '', 7
        )
        self.version_store = versionstore.VersionStore(
            table.MemoryTable(),
            objectstore.MemoryObjectStore(paused_clock),
            paused_clock,
        )
        self.hybrid_clock = hlc.HybridClock(paused_clock)
        self.timeline = timeline.Timeline(own_identity, self.hybrid_clock)
        self.tables = types.SimpleNamespace(
            membership=membership.new_table(own_identity),
            dissemination=types.SimpleNamespace(
                version_in_force=None,
                in_force=0,
                wanted=0,
                held_back={},
            ),
        )
        self.gate = gate.new_gate(6)
        self.options = types.SimpleNamespace(tls=None)
        self.stop_requested = asyncio.Event()
        self.caller_address = LOCAL
        self.serving = True
        self.uptime = 1.0
        self.render_metrics = metrics.Metrics().render
        self.distributes = True
        self.failure = None
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._server = adminserver.AdminServer(
            LOCAL, adminapi.AdminApi(self, self._loop).endpoints()
        )
        self.address = self._server.bind()
        self._set_admin_address(self.address)

    def __enter__(self):
        self._thread.start()
        self._server.start()
        return self

    def __exit__(self, *exception):
        self._server.stop()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _set_admin_address(self, admin_address):
        member_table = self.tables.membership
        member_table.local = msgspec.structs.replace(
            member_table.local, admin_address=admin_address
        )

    def add_member(self, vm, admin_address, in_force=0):
        """Add another daemon to the member table."""
        local = self.tables.membership.local
        self.tables.membership.members[vm] = msgspec.structs.replace(
            local, vm=vm, admin_address=admin_address, in_force=in_force
        )

    def record(self, *arguments, **fields):
        """Record an event in the timeline."""
        return self.timeline.record(events.Event(*arguments, **fields))

    def drain(self):
        self.stop_requested.set()

    async def submit(self, submission):
        result = await self.version_store.submit(submission, SUBMIT_TIMEOUT_S)
        if self.failure is not None:
            return self.failure
        if result.is_ok():
            self._put_in_force(result.ok)
        return result

    def _put_in_force(self, version):
        self.record(
            'patch.accepted', version=version.number, patch=version.patch_id
        )
        member_table = self.tables.membership
        self.tables.dissemination.in_force = version.number
        member_table.local = msgspec.structs.replace(
            member_table.local, in_force=version.number
        )
        if self.distributes:
            for vm, member in member_table.members.items():
                member_table.members[vm] = msgspec.structs.replace(
                    member, in_force=version.number
                )
