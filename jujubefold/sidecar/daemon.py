"""Daemon: assembles a sidecar, starts it, and stops it gracefully."""

import asyncio
import dataclasses
import gc
import random
import signal

from jujubefold import backgroundtasks
from jujubefold import bodymemory
from jujubefold import callserver
from jujubefold import clock
from jujubefold import identity
from jujubefold.sidecar import announcements
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import departures
from jujubefold.sidecar import earlylistener
from jujubefold.sidecar import egress
from jujubefold.sidecar import enlistment
from jujubefold.sidecar import eventlog
from jujubefold.sidecar import feedtask
from jujubefold.sidecar import feedwatcher
from jujubefold.sidecar import fleet
from jujubefold.sidecar import freshness
from jujubefold.sidecar import ingress
from jujubefold.sidecar import leavingcheck
from jujubefold.sidecar import memberrows
from jujubefold.sidecar import metrics
from jujubefold.sidecar import options as settings
from jujubefold.sidecar import quotaexchange
from jujubefold.sidecar import retrybudget
from jujubefold.sidecar import roster
from jujubefold.sidecar import settingswatcher
from jujubefold.sidecar import storeera
from jujubefold.sidecar import versions

# Daemons that start at the same time may miss each other's row, so the first
# reads follow closely. A daemon that starts later connects to all others of
# its failure domain itself.
MEMBERS_INTERVALS = feedwatcher.PollIntervals(
    initial=1.0, maximum=4.0, wait=15.0
)
# A version must be in force within seconds of its publication, or of the end
# of an outage in which the store accepted calls without answering them.
VERSIONS_INTERVALS = feedwatcher.PollIntervals(
    initial=0.4, maximum=0.4, wait=2.0
)
SWEEP_INTERVAL_S = 0.1
# Limits on the bytes of request bodies, and of answers to callers, that are
# buffered at once.
REQUEST_BYTES = 48 * 1024 * 1024
ANSWER_BYTES = 32 * 1024 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
# Seconds after SIGTERM at which callers have stopped sending: the platform
# checks readiness once a second and needs two failed checks.
CALLERS_STOPPED_S = 2.3
# Seconds after SIGTERM at which this daemon announces its shutdown to the
# others, which then send it no more offers.
SHUTDOWN_NOTICE_S = 1.2
# Share of the grace period after which running requests are cut. The
# platform does not count a cut request against a stop that lasts into the
# last sixth of the grace period.
CUT_SHARE = 0.85
# Seconds allowed for answers in transit before connections are closed.
CLOSE_DELAY_S = 0.2
STOP_POLL_S = 0.02
# Net number of allocations that triggers a garbage collection. Most objects
# of a request are freed by reference counting.
GC_THRESHOLD = 20_000
# Seconds after the start for the first one, so that callers who waited for
# the start don't wait for that, too.
COLLECT_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The parts of a sidecar that depend on the platform.

    Args:
        names: `attempt.HeaderNames`.
        configuration_table: Table of the row with the configuration.
        configuration_key: Key of that row.
        decode: Decodes that row's bytes; returns
            `Ok(versions.Configuration)` or `Error(errors.Invalid)`.
        new_feed: Called with `options.Store`, a clock, a function to call
            with the operation, outcome and seconds of each store call, and
            an `eventlog.EventLog`; returns a `rowfeed.RowFeed`.
        new_announcements: Called with an
            `announcements.AnnouncementReceiver` and the service and address
            of the upstream; returns a request handler.
        new_readiness: Called with a function that returns whether the
            daemon is ready; returns a request handler.
        new_metrics: Called with a function that returns the rendered
            metrics; returns a request handler.
        load_rollout_rows: Returns the module with the rows of rollouts. Like
            the next, it is called only if the settings have rollouts.
        new_rollout_controller: Creates a `rolloutcontroller.Controller`.
    """

    names: attempts.HeaderNames
    configuration_table: str
    configuration_key: str
    decode: object
    new_feed: object
    new_announcements: object
    new_readiness: object
    new_metrics: object
    load_rollout_rows: object
    new_rollout_controller: object


class Daemon:
    """A sidecar: its servers, its links to other daemons and its feeds.

    Args:
        options: An `options.Options`.
        platform: A `Platform`.
        time_source: A `clock.Clock`.
        event_log: An `eventlog.EventLog`.

    Attributes:
        stop_requested: Event that is set to request a graceful stop.
    """

    def __init__(self, options, platform, time_source, event_log):
        self._options = options
        self._platform = platform
        self._clock = time_source
        self._rng = random.Random()
        location = options.daemon
        self._own_member = roster.Member(
            location.vm,
            identity.new_incarnation(time_source, self._rng),
            options.listen.advertised or options.listen.peers,
            options.upstream.service,
            location.region,
            location.failure_domain,
            location.capacity,
        )
        self._event_log = event_log
        self._metrics = metrics.SidecarMetrics()
        self._stopping = False
        self._closed = False
        self.stop_requested = asyncio.Event()
        self.versions = versions.Versions(
            platform.decode,
            self._version_changed,
            self._event_log,
            self._metrics.count_version_fault,
        )
        self.egress = egress.Egress(
            platform.names,
            time_source,
            f'{location.vm}/{self._own_member.incarnation}',
            options.upstream.drain,
            MAX_BODY_BYTES,
            self._slots_changed,
            self._upstream_leaves,
            self._event_log,
            options.capacity.learn,
        )
        self._store_era = storeera.StoreEra(self._era_changed, self._event_log)
        self.fleet = fleet.Fleet(
            self._own_member,
            self.egress,
            self.versions,
            time_source,
            self._rng,
            self._event_log,
            self._store_era,
            location.bootstrap,
        )
        self.ingress = ingress.Ingress(
            names=platform.names,
            service=options.upstream.service,
            fleet=self.fleet,
            versions=self.versions,
            retry_table=retrybudget.RetryTable(_retry_policy(options)),
            clock=time_source,
            rng=self._rng,
            event_log=self._event_log,
            metrics=self._metrics,
            demand=self.egress.demand,
            calls_first=options.calls.first,
        )
        self.fleet.quotas = self.ingress.quotas = quotaexchange.new_exchange(
            options,
            self.fleet,
            self.versions,
            time_source,
            self._event_log,
            self._metrics.count_quota_decision,
        )
        self._feed = storeera.FencedRowFeed(
            platform.new_feed(
                options.store,
                time_source,
                self._metrics.count_store_call,
                self._event_log,
            ),
            self._store_era,
        )
        self._departures = departures.Departures(
            self._feed,
            location.vm,
            time_source,
            self._event_log,
            location.bootstrap,
        )
        self._receiver = announcements.AnnouncementReceiver(
            self.egress,
            self._departures,
            leavingcheck.LeavingCheck(
                self.egress,
                self.versions,
                options.upstream.service,
                platform.names,
                time_source,
            ),
            self._event_log,
        )
        self._enlistment = enlistment.Enlistment(
            self._feed,
            self._own_member,
            self._departures,
            self._rng,
            self._event_log,
        )
        self._caller_server = self._new_server(self.ingress)
        # By the name of the address, in the order of their start.
        self._servers = {
            'readiness': self._new_server(
                platform.new_readiness(self.is_ready)
            ),
            'announcements': self._new_server(
                platform.new_announcements(
                    self._receiver,
                    options.upstream.service,
                    options.upstream.address,
                )
            ),
            'metrics': self._new_server(
                platform.new_metrics(self._render_metrics)
            ),
            'peers': self.fleet.peer_server,
            'callers': self._caller_server,
        }
        self._rollouts = self._new_rollouts()
        self._tasks = []
        self._timer = None
        self._previous_version = 0
        self._restore_task = None
        self.fleet.version_exchange.on_feed_late = self._read_versions_again
        self._member_rows = memberrows.MemberRows(
            self.fleet, time_source, self._event_log
        )
        self._members = feedtask.FeedTask(
            self.fleet,
            self.versions,
            self._new_watcher(
                enlistment.MEMBERS_TABLE,
                self._replace_members,
                self._update_members,
                MEMBERS_INTERVALS,
                lambda available: None,
            ),
            self._event_log,
        )
        watcher = self._new_watcher(
            platform.configuration_table,
            self._replace_configuration,
            self._update_configuration,
            freshness.feed_intervals(options.tenants.revoke)
            if options.tenants.strict_revoke
            else VERSIONS_INTERVALS,
            self._versions_availability_changed,
        )
        self._configurations = feedtask.FeedTask(
            self.fleet, self.versions, watcher, self._event_log
        )
        if options.tenants.strict_revoke:
            self._start_confirming(watcher)

    @property
    def vm(self):
        """Name of the VM that this daemon runs on."""
        return self._own_member.vm

    @property
    def incarnation(self):
        """Incarnation number of this start of the daemon."""
        return self._own_member.incarnation

    @property
    def options(self):
        """The `options.Options` in force."""
        return self._options

    def is_ready(self):
        """Return whether callers may send requests to this daemon."""
        return bool(self.versions.number) and not self._stopping

    async def start(self, listeners=None):
        """Start listening, join the fleet and start following the feeds.

        Args:
            listeners: Sockets that listen already, by the names of
                `earlylistener.NAMES`; None if there are none.
        """
        listeners = listeners or {}
        for name, server in self._servers.items():
            await server.start(
                getattr(self._options.listen, name),
                listener=listeners.get(name),
            )
        self.egress.start()
        self._event_log.record(
            'daemon.start',
            service=self._own_member.service,
            address=self._own_member.address,
            failure_domain=self._own_member.failure_domain,
        )
        self._tasks.append(
            backgroundtasks.spawn(self._receiver.load_departures())
        )
        self._tasks.append(backgroundtasks.spawn(self._enlistment.enlist()))
        self._sweep()

    async def stop(self):
        """Stop gracefully: refuse new requests and finish running ones.

        Requests that still run late in the grace period are cut.

        Returns:
            Ids of the requests that were cut.
        """
        started = self._clock.monotonic()
        grace = self._options.stop.grace
        self._stopping = True
        self._event_log.record(
            'daemon.stop', in_flight=len(self.ingress.in_flight)
        )
        self._caller_server.drain(listening=True)
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(SHUTDOWN_NOTICE_S)
        self.fleet.announce_shutdown()
        removal = backgroundtasks.spawn(self._enlistment.remove())
        await asyncio.sleep(CALLERS_STOPPED_S - SHUTDOWN_NOTICE_S)
        # From here on new requests are refused at once, so that running ones
        # can finish.
        self.ingress.closing = True
        self._caller_server.drain()
        self._caller_server.close_idle()
        while self._is_busy():
            await asyncio.sleep(STOP_POLL_S)
            if self._clock.monotonic() - started >= grace * CUT_SHARE:
                break
        cut = self.ingress.cancel_all()
        self.fleet.peer_server.closing = True
        await asyncio.sleep(CLOSE_DELAY_S)
        removal.cancel()
        await self.close()
        self._event_log.record('daemon.stopped', cut=cut)
        self._event_log.flush()
        return cut

    def reload(self, options):
        """Take over changed settings, and log those that need a restart.

        The retry budget, the grace period and the log level change at once.

        Args:
            options: `Ok(options.Options)`, or `Error(errors.Invalid)`, which
                is logged and leaves the settings as they are.
        """
        if options.is_error():
            self._event_log.record(
                'settings.invalid',
                where=options.error.where,
                detail=options.error.reason,
            )
            return
        if options.ok == self._options:
            return
        restart_sections = [
            name
            for name in (
                'daemon',
                'listen',
                'upstream',
                'store',
                'rollouts',
                'tenants',
                'calls',
                'capacity',
                'quotas',
            )
            if getattr(options.ok, name) != getattr(self._options, name)
        ]
        if options.ok.retries.window != self._options.retries.window:
            # Requests are counted by parts of the window.
            restart_sections.append('retries.window')
        else:
            self.ingress.retry_table.policy = _retry_policy(options.ok)
        if options.ok.logs != self._options.logs:
            self._event_log.configure(
                options.ok.logs.level, self.vm, self.incarnation
            )
        self._options = options.ok
        self._event_log.record(
            'settings.changed', needs_restart=restart_sections
        )

    # Wiring

    def _new_server(self, handler):
        return callserver.Server(
            handler,
            self._clock,
            bodymemory.Budget(REQUEST_BYTES),
            bodymemory.Budget(ANSWER_BYTES),
        )

    def _versions_availability_changed(self, available):
        self.fleet.version_exchange.feed_failing = not available

    def _new_watcher(self, table, replace, update, intervals, notify):
        return feedwatcher.FeedWatcher(
            self._feed,
            table,
            replace,
            update,
            intervals,
            notify,
            self._rng,
            self._event_log,
        )

    def _new_rollouts(self):
        """Return the `rollouts.Rollouts`, connected; None without them."""
        policy = self._options.rollouts
        if policy is None:
            return None
        # Most settings have none; see `platform.adapter`.
        from jujubefold.sidecar import rollouts

        member = self._own_member
        rows = self._platform.load_rollout_rows()
        created = rollouts.Rollouts(
            rollouts.Parts(
                member,
                self.fleet,
                self.egress,
                self._feed,
                rows,
                lambda on_state: self._platform.new_rollout_controller(
                    self._feed,
                    rows,
                    f'{member.vm}/{member.incarnation}',
                    policy,
                    self._clock,
                    self._rng,
                    self._event_log,
                    on_state,
                ),
                self._platform.names.seal,
                self._clock,
                self._rng,
                self._event_log,
            )
        )
        self.egress.rollout_gate = created.gate
        self.ingress.rollout_choice = created
        self.fleet.rollouts = created
        return created

    def _replace_configuration(self, rows):
        if self._rollouts is not None:
            self._rollouts.replace_orders(
                rows, self._configurations.cursor.era
            )
        self._apply_rows(rows)

    def _update_configuration(self, rows):
        if self._rollouts is not None:
            self._rollouts.update_orders(rows, self._configurations.cursor.era)
        self._apply_rows(rows)

    def _start_confirming(self, watcher):
        """Serve keys only while the version in force is sure to be current."""
        exchange = self.fleet.freshness_exchange
        exchange.start(
            self._options.tenants.revoke,
            watcher.read_once,
            lambda: self._configurations.running,
        )
        watcher.read_started = exchange.read_started
        watcher.read_ended = exchange.read_ended
        self.ingress.keys_confirmed = exchange.is_confirmed

    def _apply_rows(self, rows):
        for row in rows:
            if row.key == self._platform.configuration_key and row.value:
                self.versions.apply(
                    row.value, 'store', self._configurations.cursor.era
                )

    def _replace_members(self, rows):
        self._member_rows.replace(rows, self._members.cursor)

    def _update_members(self, rows):
        self._member_rows.update(rows, self._members.cursor)

    def _version_changed(self, configuration, source):
        limits = configuration.limits
        self._metrics.version.set({}, configuration.mesh.number)
        self._caller_server.max_head_bytes = limits.head_bytes
        self._caller_server.timeouts = callserver.Timeouts(
            head=limits.head_timeout, idle=limits.idle_timeout
        )
        if self._rollouts is not None:
            self._rollouts.set_services(tuple(configuration.mesh.services))
        self.fleet.version_exchange.announce(self._previous_version, source)
        self._previous_version = configuration.mesh.number

    def _slots_changed(self):
        self._event_log.record(
            'gate.slots', slots=self.egress.slot_table.slots
        )
        self.fleet.broadcast_load()

    def _upstream_leaves(self, upstream):
        self._receiver.record_departure(upstream)

    def _era_changed(self, era):
        """Restore what the store lost when it returned from a copy."""
        self._metrics.count_era_change()
        if self._closed:
            return
        self.fleet.freshness_exchange.unconfirm()
        self.fleet.version_exchange.announce_era()
        if self._restore_task is not None:
            self._restore_task.cancel()
        self._restore_task = backgroundtasks.spawn(
            self._enlistment.remove()
            if self._stopping
            else self._enlistment.restore()
        )
        # Reads of changes may still wait on connections of the era before;
        # the sweep starts them again.
        self._configurations.cancel_unless_current()
        self._members.cancel_unless_current()

    def _sweep(self):
        self._timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_S, self._sweep
        )
        now = self._clock.monotonic()
        guarded = backgroundtasks.run_guarded
        guarded(self.fleet.sweep)
        guarded(self._update_feed_tasks)
        if self._rollouts is not None:
            guarded(self._rollouts.sweep, self._configurations.running)
        guarded(self._member_rows.forget_missing, now, self._members.cursor)
        guarded(self.ingress.cancel_expired, now)
        guarded(self._event_log.flush)

    def _update_feed_tasks(self):
        """Start or stop following the platform's tables.

        Only the daemons that `fleet.Fleet` selects as readers follow them; the
        others hear from them, also while this daemon stops.
        """
        reads_versions, reads_members = (
            should_read and not self._closed
            for should_read in self.fleet.tables_to_read()
        )
        self._configurations.update(reads_versions)
        if reads_members and not self._members.running:
            self._members.skip_to(self.fleet.readers.members_version)
        self._members.update(reads_members)

    def _read_versions_again(self):
        """Read the versions again at once, if this daemon follows them.

        Their feed has not brought a version that other daemons know. Its
        connection may be silent, or the store that this daemon reaches. A read
        that waits for nothing will show it soon, and is not cut short.
        """
        self._configurations.restart_if_confirmed()

    def _render_metrics(self):
        table = self.egress.slot_table
        self._metrics.running.set({}, len(table.running))
        self._metrics.waiting.set({}, len(table.waiting))
        self._metrics.slots.set({}, table.slots)
        self._metrics.limit.set({}, self.egress.instance_table.limit or 0)
        self._metrics.capacity.set({}, table.learned_limit or 0)
        self._metrics.known_version.set({}, self.fleet.version_exchange.known)
        self._metrics.links.set({}, self.fleet.linked_count)
        self._metrics.set_link_bytes('near', self.fleet.traffic.near)
        self._metrics.set_link_bytes('far', self.fleet.traffic.far)
        if self._rollouts is not None:
            self._rollouts.set_metrics(self._metrics)
        return self._metrics.render()

    # Stopping

    def _is_busy(self):
        return (
            bool(self.ingress.in_flight)
            or self.egress.busy
            or self.fleet.peer_server.busy
            or self._caller_server.busy
            or self._departures.unwritten
        )

    async def close(self):
        """Close everything at once, without waiting for requests."""
        self._stopping = True
        self._closed = True
        self._update_feed_tasks()
        if self._rollouts is not None:
            self._rollouts.close()
        for task in self._tasks:
            task.cancel()
        if self._restore_task is not None:
            self._restore_task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self.egress.close()
        self.fleet.close()
        for name, server in self._servers.items():
            # The fleet has closed that one.
            if name != 'peers':
                await server.close()


def _retry_policy(options):
    retries = options.retries
    return retrybudget.Policy(retries.ratio, retries.window, retries.slack)


def _collect_garbage():
    """Collect what the start left, and look only at later objects again."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()


async def serve(path, platform, listeners=None):
    """Run a sidecar until SIGTERM or SIGINT.

    Args:
        path: Path of the settings file.
        platform: A `Platform`.
        listeners: What `earlylistener.listen` returned, or None.

    Returns:
        Exit status: 0, or 3 if the settings are invalid.
    """
    # Before the file is read, so that no change of it is missed.
    watcher = settingswatcher.SettingsWatcher(path)
    loaded = settings.load(path)
    output = eventlog.NonBlockingOutput(1)
    if loaded.is_error():
        output.write(f'{loaded.error.where}: {loaded.error.reason}\n')
        output.drain()
        return 3
    time_source = clock.SystemClock()
    event_log = eventlog.EventLog(time_source, output)
    daemon = Daemon(loaded.ok, platform, time_source, event_log)
    event_log.configure(loaded.ok.logs.level, daemon.vm, daemon.incarnation)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: event_log.record(
            'daemon.error',
            detail=context['message'],
            error=repr(context.get('exception')),
            at=backgroundtasks.raised_at(context.get('exception')),
        )
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop_requested.set)
    await daemon.start(
        earlylistener.keep_matching(listeners or {}, loaded.ok.listen)
    )
    loop.add_signal_handler(
        signal.SIGHUP, lambda: watcher.reload(daemon.reload)
    )
    backgroundtasks.spawn(watcher.run(daemon.reload))
    loop.call_later(COLLECT_AFTER_S, _collect_garbage)
    await daemon.stop_requested.wait()
    await daemon.stop()
    return 0
