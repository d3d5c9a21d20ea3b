"""Runtime: the shell that carries out what the decision core asks for."""

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

TICK_S = 0.2
EXCHANGE_TIMEOUT_S = 2.0
# Time in which the news of a drain reaches the other daemons.
DRAIN_NOTICE_S = 1.0
DRAIN_GRACE_S = 25.0
LEAVE_NOTICE_S = 0.3
SWEEP_S = 60.0
COLLECT_S = 600.0
# Far above any submission's timeout.
ORPHAN_AGE_S = 3600.0
NOTHING = mesh.Mesh()

_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """How a daemon ended.

    Args:
        cut: Ids of requests that were cut; empty when none.
    """

    cut: tuple[str, ...]


class Runtime:
    """One daemon: tables, ports, and the loop between them.

    Args:
        options: A `settings.Settings`.
        clock: A `clock.Clock`.
    """

    def __init__(self, options, clock):
        seed = options.daemon.seed
        self._options = options
        self._clock = clock
        self._rng = random.Random(seed)
        self._hybrid = hlc.HybridClock(clock)
        self._identity = self._new_identity()
        self._timeline = timeline.Timeline(self._identity, self._hybrid)
        self._metrics = metrics.Metrics()
        self._inbox = []
        self._wake = asyncio.Event()
        self._stop_wanted = asyncio.Event()
        self._tasks = set()
        self._mesh = NOTHING
        self._live = (None, ())
        self._lease = None
        self._synced = None
        self._lag = 0.0
        self._tables = None
        self._loop_task = None
        self._began = clock.monotonic()
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
        self._rows, self._objects = self._new_stores()
        self._version_store = versionstore.VersionStore(
            self._rows, self._objects, clock
        )
        self._contacts = contacts.ContactTable(
            self._rows, options.platform.timeout
        )
        self._gate = gate.new_gate(options.upstream.slots)
        self._claims = claims.Claims(
            self._rows,
            self._objects,
            clock,
            self._rng,
            is_holder_gone=self._holder_gone,
        )
        self._flow = self._new_flow()

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
        """The core's tables; to be read in the loop's thread only."""
        return self._tables

    @property
    def gate(self):
        """The gate of the own upstream."""
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
        return self._clock.monotonic() - self._began

    @property
    def serving(self):
        """Whether callers' requests are routed."""
        return self._mesh.number > 0 and not self._stop_wanted.is_set()

    @property
    def stop_wanted(self):
        """Event that is set when this daemon has to stop."""
        return self._stop_wanted

    def render_metrics(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        size = membership.fleet_size(self._tables.membership)
        load = gate.current_load(self._gate)
        held_back = self._tables.dissemination.held_back
        self._metrics.members.set({'state': 'live'}, size)
        self._metrics.running.set({}, load.running)
        self._metrics.queued.set({}, load.queued)
        self._metrics.held_back.set({}, len(held_back))
        self._metrics.loop_lag.set({}, self._lag)
        return self._metrics.render()

    async def start(self, admin_address=''):
        """Bind the ports, then join the fleet.

        Args:
            admin_address: Bound address of the operators' API.
        """
        daemon = self._options.daemon
        peer_address = await self._peers.serve(self._receive)
        self._caller_address, call_address = await self._flow.start(
            daemon.caller_address, daemon.call_address, *self._call_tls()
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
        self._loop_task = asyncio.create_task(self._run())
        self._spawn(self._sweep())
        self._spawn(self._check_self())
        self._spawn(self._collect_orphans())

    def feed(self, item):
        """Give the core an input at the next tick, which is due at once.

        Args:
            item: What `dispatch.handle` knows.
        """
        self._inbox.append(item)
        self._wake.set()

    def record(self, event):
        """Put an event on the time line and into the log."""
        logs.event(self._timeline.record(event))

    def announce(self, announcement):
        """Take an upstream's announcement.

        Args:
            announcement: An `upstreams.Announcement`.

        Returns:
            As `upstreams.announce`.
        """
        result = upstreams.announce(
            self._tables.upstream, announcement, self._clock.monotonic()
        )
        self._wake.set()
        return result

    async def submit(self, submission):
        """Submit a patch; once accepted, spread it.

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
            self._accepted(result.ok)
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
        """Begin a graceful shutdown."""
        self._stop_wanted.set()

    def reload_keys(self):
        """Use changed TLS files for new connections."""
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
        """Drain, finish what runs, leave the fleet and close.

        Args:
            grace: Seconds that running requests are waited for.

        Returns:
            A `Stopped`.
        """
        self.record(events.Event('daemon.draining'))
        self.feed(dispatch.StopRequested())
        self._drain_gate()
        await asyncio.sleep(DRAIN_NOTICE_S)
        cut = await self._flow.stop(grace)
        membership.leave(self._tables.membership)
        self._wake.set()
        await asyncio.sleep(LEAVE_NOTICE_S)
        self.record(events.Event('daemon.stopped', detail=f'cut {len(cut)}'))
        await self._claims.close(self._options.platform.timeout)
        self._loop_task.cancel()
        for task in tuple(self._tasks):
            task.cancel()
        await self._peers.close()
        self._rows.close()
        self._objects.close()
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
        self._limits = tuple(
            storelimit.StoreLimiter(
                self._clock,
                self._rng,
                platform.calls_per_second,
                functools.partial(self._store_called, store),
            )
            for store in ('table', 'objects')
        )
        return (
            tableservice.TableService(
                platform.table_url,
                self._clock,
                platform.timeout,
                self._limits[0],
            ),
            objectservice.ObjectService(
                platform.objects_url,
                self._clock,
                platform.timeout,
                self._limits[1],
            ),
        )

    def _new_flow(self):
        self._crashes = crashes.new_table()
        self._routing = routing.new_routing(self._rng)
        return callflow.CallFlow(
            identity=self._identity,
            clock=self._clock,
            rng=self._rng,
            mesh_in_force=lambda: self._mesh,
            live_members=self._live_members,
            own_member=lambda: self._tables.membership.local,
            gate_table=self._gate,
            routing_table=self._routing,
            crash_table=self._crashes,
            claims=self._claims,
            observe=self._call_seen,
            record=self.record,
            emit=self._perform_later,
            limits=callflow.Limits(
                upstream_connections=self._options.upstream.connections
            ),
        )

    def _call_tls(self):
        if self._options.tls is None:
            return ()
        return (
            self._server_tls.context,
            trust.client_context(self._options.tls),
        )

    # The loop

    async def _run(self):
        while True:
            began = self._clock.monotonic()
            await self._next_tick()
            self._lag = max(0.0, self._clock.monotonic() - began - TICK_S)
            self._wake.clear()
            inputs, self._inbox = self._inbox, []
            self._perform(self._tick(inputs))
            self._sync_upstream()
            self._sync_fleet()

    async def _next_tick(self):
        try:
            async with asyncio.timeout(TICK_S):
                await self._wake.wait()
        except TimeoutError:
            pass

    def _tick(self, inputs):
        context = dispatch.Context(
            self._clock.monotonic(), self._clock.wall(), self._rng
        )
        return list(core.tick(self._tables, context, inputs))

    def _receive(self, envelope):
        """Answer another daemon's envelope, in the same turn."""
        if self._tables is None:
            return self._envelope(())
        split = batching.split_answer(
            self._tick(self._inputs(envelope)), envelope.address
        )
        self._perform(split.remaining)
        return self._envelope(split.answer)

    def _inputs(self, envelope):
        stamp = hlc.Timestamp(envelope.wall_ns, envelope.counter)
        self._hybrid.observe(stamp)
        if envelope.skipped:
            self._metrics.skipped.add({}, envelope.skipped)
        self._count_messages('received', envelope.messages)
        return [
            dispatch.MessageReceived(
                envelope.address, envelope.incarnation, message
            )
            for message in envelope.messages
        ]

    def _envelope(self, content):
        stamp = self._hybrid.tick()
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
            batch.to, self._envelope(batch.messages), EXCHANGE_TIMEOUT_S
        )
        if result.is_error():
            self.feed(dispatch.ExchangeFailed(batch.to))
            return
        if result.ok.messages:
            self._inbox.extend(self._inputs(result.ok))
            self._wake.set()

    # Effects

    def _perform(self, produced):
        sends = []
        for effect in produced:
            if isinstance(effect, effects.Send):
                sends.append(effect)
            else:
                _perform(effect, self)
        for batch in batching.batch_sends(sends):
            self._spawn(self._exchange(batch))

    def _perform_later(self, effect):
        self._perform((effect,))

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _feed_result(self, coroutine):
        self.feed(await coroutine)

    def _put_in_force(self, held):
        self._mesh = held.mesh
        self._metrics.version.set({}, held.version.number)
        accepted = held.version.accepted_ms / _MILLISECONDS
        if accepted:
            # The acceptor's clock may be ahead of this one.
            lasted = max(0.0, self._clock.wall() - accepted)
            self._metrics.convergence.observe({}, lasted)

    # Keeping the call path in step with the tables

    def _accepted(self, version):
        self.record(
            events.Event(
                'patch.accepted',
                version=version.number,
                patch=version.patch_id,
            )
        )
        self.feed(dispatch.PatchAccepted(version))

    def _live_members(self):
        table = self._tables.membership
        if self._live[0] != table.change_count:
            self._live = (
                table.change_count,
                tuple(membership.live_members(table)),
            )
        return self._live[1]

    def _sync_upstream(self):
        lease = self._tables.upstream.lease
        if lease == self._lease or lease is None:
            return
        known = self._lease
        self._lease = lease
        if self._stop_wanted.is_set():
            return
        self._flow.upstream_address = lease.address
        if known and (known.state, known.slots) == (lease.state, lease.slots):
            return
        self._set_gate(lease.state, lease.slots)

    def _set_gate(self, state, slots):
        service = self._mesh.services.get(self._lease.service)
        admitted = gate.set_upstream(
            self._gate,
            state,
            slots,
            self._clock.monotonic(),
            service.warmup if service else 0.0,
        )
        self._flow.upstream_changed(admitted)

    def _drain_gate(self):
        if self._lease is not None:
            self._set_gate(messages.UpstreamState.DRAINING, self._lease.slots)

    def _sync_fleet(self):
        table = self._tables.membership
        if self._synced == table.change_count:
            return
        self._synced = table.change_count
        size = membership.fleet_size(table)
        for limit in self._limits:
            limit.set_fleet_size(size)
        self._peers.keep(
            member.peer_address for member in overlay.neighbours(table)
        )
        routing.update_members(
            self._routing, self._live_members(), table.local
        )

    def _holder_gone(self, holder):
        # It only decides between "running" and "unknown"; no claim is ever
        # freed by it, because a daemon held dead may be paused.
        vm, _, incarnation = holder.rpartition('/')
        me = self._identity
        if vm == me.vm:
            return incarnation != str(me.incarnation)
        known = self._tables.membership.members.get(vm)
        if not membership.is_live(known):
            return True
        return str(known.incarnation) != incarnation

    async def _check_self(self):
        tls = None
        if self._options.tls is not None:
            tls = trust.client_context(self._options.tls)
        check = selfcheck.SelfCheck(
            self._identity.call_address, self._clock, tls
        )
        while True:
            await asyncio.sleep(selfcheck.INTERVAL_S)
            passed = await check.passes()
            membership.set_serving(
                self._tables.membership, passed, self._clock.monotonic()
            )

    async def _sweep(self):
        while True:
            await asyncio.sleep(SWEEP_S * self._rng.uniform(0.8, 1.2))
            await self._claims.sweep()

    async def _collect_orphans(self):
        # One daemon is enough, and two at once do no harm.
        collector = blobs.OrphanCollector(self._rows, self._objects)
        while True:
            await asyncio.sleep(COLLECT_S * self._rng.uniform(0.8, 1.2))
            if overlay.local_rank(self._tables.membership) == 0:
                await collector.collect(ORPHAN_AGE_S)

    # Observers

    def _call_seen(self, seen):
        labels = {'outcome': seen.ran.value, 'reason': seen.reason.value}
        self._metrics.calls.inc(labels)
        if seen.local:
            self._metrics.added.observe(
                {}, seen.seconds - seen.upstream_seconds
            )

    def _store_called(self, store, seen):
        labels = {
            'store': store,
            'operation': seen.operation,
            'outcome': seen.outcome.value,
        }
        self._metrics.store_calls.inc(labels)
        self._metrics.store_seconds.observe({'store': store}, seen.seconds)

    def _count_messages(self, direction, content):
        for message in content:
            labels = {'direction': direction, 'type': type(message).__name__}
            self._metrics.control_messages.inc(labels)

    def _count_bytes(self, direction, size):
        self._metrics.control_bytes.add({'direction': direction}, size)


@functools.singledispatch
def _perform(effect, runtime):
    raise TypeError(f'no shell for {type(effect).__name__}')


@_perform.register
def _(effect: effects.RecordEvent, runtime):
    runtime.record(effect.event)


@_perform.register
def _(effect: effects.ReadHead, runtime):
    runtime._spawn(runtime._feed_result(runtime._version_store.read_head()))


@_perform.register
def _(effect: effects.FetchVersions, runtime):
    fetched = runtime._version_store.fetch(
        effect.after, effect.upto, effect.whole
    )
    runtime._spawn(runtime._feed_result(fetched))


@_perform.register
def _(effect: effects.ActivateVersion, runtime):
    runtime._put_in_force(effect.version)


@_perform.register
def _(effect: effects.ReadContacts, runtime):
    runtime._spawn(runtime._feed_result(runtime._contacts.read()))


@_perform.register
def _(effect: effects.WriteContact, runtime):
    address = runtime._identity.peer_address
    runtime._spawn(runtime._contacts.write(effect.slot, address))


@_perform.register
def _(effect: effects.Stop, runtime):
    logs.logger.bind(event='daemon.stop').error(effect.reason)
    runtime.drain()
