"""Runtime: runs the decision core of a daemon and performs its effects."""

import asyncio
import dataclasses
import functools
import random

from jujubefold import batching
from jujubefold import blobs
from jujubefold import callflow
from jujubefold import claims
from jujubefold import contacts
from jujubefold import core
from jujubefold import crashes
from jujubefold import dispatch
from jujubefold import dissemination
from jujubefold import effects
from jujubefold import events
from jujubefold import gate
from jujubefold import grpcpeers
from jujubefold import hlc
from jujubefold import identity
from jujubefold import logs
from jujubefold import membership
from jujubefold import mesh
from jujubefold import messages
from jujubefold import metrics
from jujubefold import objectservice
from jujubefold import overlay
from jujubefold import routing
from jujubefold import selfcheck
from jujubefold import storelimit
from jujubefold import tableservice
from jujubefold import timeline
from jujubefold import trust
from jujubefold import upstreams
from jujubefold import versionstore

TICK_INTERVAL_S = 0.2
EXCHANGE_TIMEOUT_S = 2.0
# Time for a drain to reach the other daemons before calls are stopped.
DRAIN_PROPAGATION_S = 1.0
DRAIN_GRACE_S = 25.0
# Time for the departure of this daemon to reach the others.
LEAVE_PROPAGATION_S = 0.3
CLAIM_SWEEP_INTERVAL_S = 60.0
ORPHAN_COLLECTION_INTERVAL_S = 600.0
# Far longer than a submission in progress, whose objects must be kept.
MIN_ORPHAN_AGE_S = 3600.0
EMPTY_MESH = mesh.Mesh()

_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Result of stopping a daemon.

    Args:
        cut: Ids of the requests aborted at the end of the grace period.
    """

    cut: tuple[str, ...]


class Runtime:
    """One daemon: its core tables, its ports and the loop that drives them.

    Args:
        options: A `settings.Settings`.
        clock: A `clock.Clock`.
    """

    def __init__(self, options, clock):
        seed = options.daemon.seed
        self._options = options
        self._clock = clock
        self._rng = random.Random(seed)
        self._hybrid_clock = hlc.HybridClock(clock)
        self._identity = self._new_identity()
        self._timeline = timeline.Timeline(self._identity, self._hybrid_clock)
        self._metrics = metrics.Metrics()
        self._inbox = []
        self._tick_requested = asyncio.Event()
        self._stop_requested = asyncio.Event()
        self._tasks = set()
        self._mesh_in_force = EMPTY_MESH
        self._live_cache = (None, ())
        self._applied_lease = None
        self._applied_changes = None
        self._loop_lag_s = 0.0
        self._tables = None
        self._loop_task = None
        self._started_at = clock.monotonic()
        self._caller_address = ''
        self._credentials = None
        self._server_tls = None
        if options.tls is not None:
            self._credentials = trust.PeerCredentials(options.tls)
            self._server_tls = trust.ServerContext(options.tls)
        self._peers = grpcpeers.GrpcPeers(
            options.daemon.peer_address, self._credentials
        )
        self._peers.observe = self._count_bytes
        self._table_store, self._object_store = self._new_stores()
        self._version_store = versionstore.VersionStore(
            self._table_store, self._object_store, clock
        )
        self._contacts = contacts.ContactTable(
            self._table_store, options.platform.timeout
        )
        self._gate = gate.new_gate(options.upstream.slots)
        self._claims = claims.Claims(
            self._table_store,
            self._object_store,
            clock,
            self._rng,
            is_holder_gone=self._is_holder_gone,
        )
        self._call_flow = self._new_call_flow()

    @property
    def identity(self):
        """This daemon's `identity.Identity`, with bound addresses."""
        return self._identity

    @property
    def caller_address(self):
        """Where callers connect, `ip:port`."""
        return self._caller_address

    @property
    def options(self):
        """The `settings.Settings` in use."""
        return self._options

    @property
    def server_tls(self):
        """The `trust.ServerContext` of the HTTP ports; None without TLS."""
        return self._server_tls

    @property
    def tables(self):
        """The `core.Tables`; to be read in the event loop's thread only."""
        return self._tables

    @property
    def gate(self):
        """The admission gate of the upstream on this VM."""
        return self._gate

    @property
    def version_store(self):
        """The `versionstore.VersionStore` over the platform."""
        return self._version_store

    @property
    def timeline(self):
        """This daemon's `timeline.Timeline`."""
        return self._timeline

    @property
    def uptime(self):
        """Seconds since the start."""
        return self._clock.monotonic() - self._started_at

    @property
    def serving(self):
        """Whether a configuration is in force and no shutdown is requested."""
        return (
            self._mesh_in_force.number > 0
            and not self._stop_requested.is_set()
        )

    @property
    def stop_requested(self):
        """`asyncio.Event` that is set once a shutdown was requested."""
        return self._stop_requested

    def render_metrics(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        size = membership.fleet_size(self._tables.membership)
        load = gate.current_load(self._gate)
        held_back = self._tables.dissemination.held_back
        self._metrics.members.set({'state': 'live'}, size)
        self._metrics.running.set({}, load.running)
        self._metrics.queued.set({}, load.queued)
        self._metrics.held_back.set({}, len(held_back))
        self._metrics.loop_lag.set({}, self._loop_lag_s)
        return self._metrics.render()

    async def start(self, admin_address=''):
        """Bind the ports, then start the loop, which joins the fleet.

        Args:
            admin_address: Bound address of the admin API.
        """
        daemon = self._options.daemon
        peer_address = await self._peers.serve(self._receive)
        self._caller_address, call_address = await self._call_flow.start(
            daemon.caller_address,
            daemon.call_address,
            *self._call_tls_contexts(),
        )
        self._identity = dataclasses.replace(
            self._identity,
            peer_address=peer_address,
            call_address=call_address,
            admin_address=admin_address,
        )
        self._tables = core.Tables(
            identity=self._identity,
            membership=membership.new_table(self._identity, daemon.contacts),
            dissemination=dissemination.DisseminationTable(
                options=self._options.dissemination
            ),
            upstream=upstreams.new_table(
                self._identity, self._options.upstream
            ),
            crashes=self._crashes,
        )
        warning = trust.plain_warning(self._options.tls)
        if warning:
            logs.logger.bind(event='daemon.plain').warning(warning)
        self.record(events.Event('daemon.started', detail=peer_address))
        self._loop_task = asyncio.create_task(self._run_loop())
        self._spawn(self._sweep_claims())
        self._spawn(self._run_self_checks())
        self._spawn(self._collect_orphans())

    def enqueue(self, item):
        """Queue an input for the core and request a tick at once.

        Args:
            item: An input that `dispatch.handle` accepts.
        """
        self._inbox.append(item)
        self._tick_requested.set()

    def record(self, event):
        """Add an event to the time line and write it to the log.

        Args:
            event: An `events.Event`.
        """
        logs.log_event(self._timeline.record(event))

    def announce(self, announcement):
        """Apply an announcement of the upstream on this VM.

        Args:
            announcement: An `upstreams.Announcement`.

        Returns:
            As `upstreams.announce`.
        """
        result = upstreams.announce(
            self._tables.upstream, announcement, self._clock.monotonic()
        )
        self._tick_requested.set()
        return result

    async def submit(self, submission):
        """Submit a patch; disseminate its version once it is accepted.

        Args:
            submission: A `versionstore.Submission`.

        Returns:
            As `versionstore.VersionStore.submit`.
        """
        self.record(
            events.Event(
                'patch.submitted',
                patch=submission.patch_id,
                detail=f'base {submission.base}',
            )
        )
        result = await self._version_store.submit(
            submission, self._options.platform.submit_timeout
        )
        if result.is_ok():
            self._patch_accepted(result.ok)
        else:
            self.record(
                events.Event(
                    'patch.refused',
                    patch=submission.patch_id,
                    detail=result.error.reason,
                )
            )
        return result

    def drain(self):
        """Request a graceful shutdown."""
        self._stop_requested.set()

    def reload_keys(self):
        """Load changed TLS files, for new connections only."""
        if self._server_tls is None:
            return
        result = self._server_tls.reload()
        if result.is_error():
            failure = result.error
            self.record(
                events.Event(
                    'daemon.keys_refused',
                    detail=f'{failure.where}: {failure.reason}',
                )
            )
            return
        self._peers.reload()
        self.record(events.Event('daemon.keys_reloaded'))

    async def stop(self, grace=DRAIN_GRACE_S):
        """Drain, wait for running requests, leave the fleet and close.

        Args:
            grace: Seconds to wait for running requests.

        Returns:
            A `Stopped`.
        """
        self.record(events.Event('daemon.draining'))
        self.enqueue(dispatch.StopRequested())
        self._drain_gate()
        await asyncio.sleep(DRAIN_PROPAGATION_S)
        cut = await self._call_flow.stop(grace)
        membership.leave(self._tables.membership)
        self._tick_requested.set()
        await asyncio.sleep(LEAVE_PROPAGATION_S)
        self.record(events.Event('daemon.stopped', detail=f'cut {len(cut)}'))
        await self._claims.close(self._options.platform.timeout)
        self._loop_task.cancel()
        for task in tuple(self._tasks):
            task.cancel()
        await self._peers.close()
        self._table_store.close()
        self._object_store.close()
        return Stopped(cut)

    def _new_identity(self):
        daemon = self._options.daemon
        return identity.Identity(
            vm=daemon.vm,
            region=daemon.region,
            failure_domain=daemon.failure_domain,
            peer_address=daemon.peer_address,
            call_address=daemon.call_address,
            admin_address=daemon.admin_address,
            incarnation=identity.new_incarnation(self._clock, self._rng),
        )

    def _new_stores(self):
        platform = self._options.platform
        self._store_limits = tuple(
            storelimit.StoreLimiter(
                self._clock,
                self._rng,
                platform.calls_per_second,
                functools.partial(self._observe_store_call, store),
            )
            for store in ('table', 'objects')
        )
        return (
            tableservice.TableService(
                platform.table_url,
                self._clock,
                platform.timeout,
                self._store_limits[0],
            ),
            objectservice.ObjectService(
                platform.objects_url,
                self._clock,
                platform.timeout,
                self._store_limits[1],
            ),
        )

    def _new_call_flow(self):
        self._crashes = crashes.new_table()
        self._routing = routing.new_routing(self._rng)
        return callflow.CallFlow(
            identity=self._identity,
            clock=self._clock,
            rng=self._rng,
            mesh_in_force=lambda: self._mesh_in_force,
            live_members=self._live_members,
            own_member=lambda: self._tables.membership.local,
            gate_table=self._gate,
            routing_table=self._routing,
            crash_table=self._crashes,
            claims=self._claims,
            observe=self._observe_call,
            record=self.record,
            emit=self._perform_one,
            limits=callflow.Limits(
                upstream_connections=self._options.upstream.connections
            ),
        )

    def _call_tls_contexts(self):
        if self._options.tls is None:
            return ()
        return (
            self._server_tls.context,
            trust.client_context(self._options.tls),
        )

    # The loop

    async def _run_loop(self):
        while True:
            wait_began = self._clock.monotonic()
            await self._wait_for_tick()
            self._loop_lag_s = max(
                0.0, self._clock.monotonic() - wait_began - TICK_INTERVAL_S
            )
            self._tick_requested.clear()
            inputs, self._inbox = self._inbox, []
            self._perform(self._tick(inputs))
            self._apply_lease()
            self._apply_members()

    async def _wait_for_tick(self):
        try:
            async with asyncio.timeout(TICK_INTERVAL_S):
                await self._tick_requested.wait()
        except TimeoutError:
            pass

    def _tick(self, inputs):
        context = dispatch.Context(
            self._clock.monotonic(), self._clock.wall(), self._rng
        )
        return list(core.tick(self._tables, context, inputs))

    def _receive(self, envelope):
        """Handle another daemon's envelope and return the answering one."""
        if self._tables is None:
            return self._new_envelope(())
        routed = batching.split_answer(
            self._tick(self._inputs_of(envelope)), envelope.address
        )
        self._perform(routed.remaining)
        return self._new_envelope(routed.answer)

    def _inputs_of(self, envelope):
        stamp = hlc.Timestamp(envelope.wall_ns, envelope.counter)
        self._hybrid_clock.observe(stamp)
        if envelope.skipped:
            self._metrics.skipped.add({}, envelope.skipped)
        self._count_messages('received', envelope.messages)
        return [
            dispatch.MessageReceived(
                envelope.address, envelope.incarnation, message
            )
            for message in envelope.messages
        ]

    def _new_envelope(self, content):
        stamp = self._hybrid_clock.tick()
        self._count_messages('sent', content)
        return messages.Envelope(
            vm=self._identity.vm,
            incarnation=self._identity.incarnation,
            address=self._identity.peer_address,
            wall_ns=stamp.wall_ns,
            counter=stamp.counter,
            messages=tuple(content),
        )

    async def _exchange(self, batch):
        result = await self._peers.exchange(
            batch.to, self._new_envelope(batch.messages), EXCHANGE_TIMEOUT_S
        )
        if result.is_error():
            self.enqueue(dispatch.ExchangeFailed(batch.to))
            return
        if result.ok.messages:
            self._inbox.extend(self._inputs_of(result.ok))
            self._tick_requested.set()

    # Effects

    def _perform(self, requested):
        sends = []
        for effect in requested:
            if isinstance(effect, effects.Send):
                sends.append(effect)
            else:
                _perform_effect(effect, self)
        for batch in batching.batch_sends(sends):
            self._spawn(self._exchange(batch))

    def _perform_one(self, effect):
        self._perform((effect,))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _enqueue_result(self, coroutine):
        self.enqueue(await coroutine)

    def _put_in_force(self, held):
        self._mesh_in_force = held.mesh
        self._metrics.version_in_force.set({}, held.version.number)
        accepted_s = held.version.accepted_ms / _MILLISECONDS
        if accepted_s:
            # The clock of the accepting daemon may be ahead of this one.
            elapsed_s = max(0.0, self._clock.wall() - accepted_s)
            self._metrics.convergence.observe({}, elapsed_s)

    # Updates of the call path from the core's tables

    def _patch_accepted(self, version):
        self.record(
            events.Event(
                'patch.accepted',
                version=version.number,
                patch=version.patch_id,
            )
        )
        self.enqueue(dispatch.PatchAccepted(version))

    def _live_members(self):
        table = self._tables.membership
        if self._live_cache[0] != table.change_count:
            self._live_cache = (
                table.change_count,
                tuple(membership.live_members(table)),
            )
        return self._live_cache[1]

    def _apply_lease(self):
        lease = self._tables.upstream.lease
        if lease == self._applied_lease or lease is None:
            return
        previous = self._applied_lease
        self._applied_lease = lease
        if self._stop_requested.is_set():
            return
        self._call_flow.upstream_address = lease.address
        if previous and (previous.state, previous.slots) == (
            lease.state,
            lease.slots,
        ):
            return
        self._set_gate_state(lease.state, lease.slots)

    def _set_gate_state(self, state, slots):
        service = self._mesh_in_force.services.get(self._applied_lease.service)
        admitted = gate.set_upstream(
            self._gate,
            state,
            slots,
            self._clock.monotonic(),
            service.warmup if service else 0.0,
        )
        self._call_flow.upstream_changed(admitted)

    def _drain_gate(self):
        if self._applied_lease is not None:
            self._set_gate_state(
                messages.UpstreamState.DRAINING, self._applied_lease.slots
            )

    def _apply_members(self):
        table = self._tables.membership
        if self._applied_changes == table.change_count:
            return
        self._applied_changes = table.change_count
        size = membership.fleet_size(table)
        for limit in self._store_limits:
            limit.set_fleet_size(size)
        self._peers.retain(
            member.peer_address for member in overlay.neighbours(table)
        )
        routing.update_members(
            self._routing, self._live_members(), table.local
        )

    def _is_holder_gone(self, holder):
        # Decides only whether a key is reported as running or as unknown.
        # It never releases a claim: a daemon declared dead may be paused.
        vm, _, incarnation = holder.rpartition('/')
        own = self._identity
        if vm == own.vm:
            return incarnation != str(own.incarnation)
        member = self._tables.membership.members.get(vm)
        if not membership.is_live(member):
            return True
        return str(member.incarnation) != incarnation

    async def _run_self_checks(self):
        tls = None
        if self._options.tls is not None:
            tls = trust.client_context(self._options.tls)
        check = selfcheck.SelfCheck(
            self._identity.call_address, self._clock, tls
        )
        while True:
            await asyncio.sleep(selfcheck.INTERVAL_S)
            passed = await check.call_port_answers()
            membership.set_serving(
                self._tables.membership, passed, self._clock.monotonic()
            )

    async def _sweep_claims(self):
        while True:
            await asyncio.sleep(
                CLAIM_SWEEP_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            )
            await self._claims.sweep()

    async def _collect_orphans(self):
        # One collector in the fleet suffices; two at once are harmless.
        collector = blobs.OrphanCollector(
            self._table_store, self._object_store
        )
        while True:
            await asyncio.sleep(
                ORPHAN_COLLECTION_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            )
            if overlay.local_rank(self._tables.membership) == 0:
                await collector.collect(MIN_ORPHAN_AGE_S)

    # Observers

    def _observe_call(self, call):
        labels = {'outcome': call.ran.value, 'reason': call.reason.value}
        self._metrics.calls.inc(labels)
        if call.local:
            self._metrics.call_added.observe(
                {}, call.seconds - call.upstream_seconds
            )

    def _observe_store_call(self, store, call):
        labels = {
            'store': store,
            'operation': call.operation,
            'outcome': call.outcome.value,
        }
        self._metrics.store_calls.inc(labels)
        self._metrics.store_seconds.observe({'store': store}, call.seconds)

    def _count_messages(self, direction, content):
        for message in content:
            labels = {'direction': direction, 'type': type(message).__name__}
            self._metrics.control_messages.inc(labels)

    def _count_bytes(self, direction, size):
        self._metrics.control_bytes.add({'direction': direction}, size)


@functools.singledispatch
def _perform_effect(effect, runtime):
    raise TypeError(f'no handler for effect {type(effect).__name__}')


@_perform_effect.register
def _(effect: effects.RecordEvent, runtime):
    runtime.record(effect.event)


@_perform_effect.register
def _(effect: effects.ReadHead, runtime):
    runtime._spawn(runtime._enqueue_result(runtime._version_store.read_head()))


@_perform_effect.register
def _(effect: effects.FetchVersions, runtime):
    fetched = runtime._version_store.fetch(
        effect.after, effect.upto, effect.whole
    )
    runtime._spawn(runtime._enqueue_result(fetched))


@_perform_effect.register
def _(effect: effects.ActivateVersion, runtime):
    runtime._put_in_force(effect.version)


@_perform_effect.register
def _(effect: effects.ReadContacts, runtime):
    runtime._spawn(runtime._enqueue_result(runtime._contacts.read()))


@_perform_effect.register
def _(effect: effects.WriteContact, runtime):
    address = runtime._identity.peer_address
    runtime._spawn(runtime._contacts.write(effect.slot, address))


@_perform_effect.register
def _(effect: effects.Stop, runtime):
    logs.logger.bind(event='daemon.stop').error(effect.reason)
    runtime.drain()
