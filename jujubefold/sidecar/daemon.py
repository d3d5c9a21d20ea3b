"""Daemon: wires a sidecar together, starts it, and stops it gracefully."""

import asyncio
import dataclasses
import gc
import pathlib
import random
import signal

from jujubefold import backgroundtasks
from jujubefold import bodymemory
from jujubefold import callserver
from jujubefold import clock
from jujubefold import identity
from jujubefold import logs
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import departures
from jujubefold.sidecar import egress
from jujubefold.sidecar import eventlog
from jujubefold.sidecar import fleet
from jujubefold.sidecar import ingress
from jujubefold.sidecar import metrics
from jujubefold.sidecar import options as settings
from jujubefold.sidecar import registrar
from jujubefold.sidecar import retrybudget
from jujubefold.sidecar import roster
from jujubefold.sidecar import tablewatcher
from jujubefold.sidecar import versions

MEMBERS_TABLE = 'jujubefold-members'
# Two that start at once may miss each other's row and learn of it soon; later
# on newcomers greet all others themselves, and rows only confirm that.
MEMBERS_PACE = tablewatcher.PollIntervals(rest=1.5, most_rest=12.0, wait=15.0)
# A version must be in force within seconds, also of the end of an outage in
# which the platform took calls and answered none.
VERSIONS_PACE = tablewatcher.PollIntervals(rest=0.4, most_rest=0.4, wait=2.0)
SWEEP_S = 0.1
SETTINGS_POLL_S = 1.0
# Bytes of request bodies, and of answers to callers, buffered at once.
REQUEST_BYTES = 48 * 1024 * 1024
ANSWER_BYTES = 32 * 1024 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
# Seconds after SIGTERM until callers are known to have turned away: the
# platform asks for readiness each second and wants two misses.
TURNED_AWAY_S = 2.3
# Seconds after SIGTERM at which other daemons are told to offer no more.
GOODBYE_S = 1.2
# Share of the grace after which what still runs is cut: the platform does
# not hold a request against a stop that lasts into the last sixth.
CUT_SHARE = 0.85
# Seconds for which a connection with an answer on its way may linger.
CLOSING_S = 0.2
STOP_POLL_S = 0.02
WRITE_PAUSE_S = 0.5
# Objects allocated between two collections; most of a request's die by
# reference counting.
GC_THRESHOLD = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """What an adapter brings.

    Args:
        names: `attempt.HeaderNames`.
        configuration_table: Table of the row with the configuration.
        configuration_key: Key of that row.
        decode: Turns that row's bytes into `versions.Configuration`.
        new_feed: Called with `options.Store`, a clock and a callback for
            each call, returns a `rowfeed.RowFeed`.
        new_announcements: Called with a `registrar.Registrar` and the
            service and address of the upstream, returns a request handler.
        new_readiness: Called with a function that tells whether the daemon
            is ready, returns a request handler.
        new_metrics: Called with a function that renders metrics, returns a
            request handler.
    """

    names: attempts.HeaderNames
    configuration_table: str
    configuration_key: str
    decode: object
    new_feed: object
    new_announcements: object
    new_readiness: object
    new_metrics: object


class Daemon:
    """One sidecar.

    Args:
        options: An `options.Options`.
        platform: A `Platform`.
        time_source: A `clock.Clock`.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, options, platform, time_source, event_log):
        self._options = options
        self._platform = platform
        self._clock = time_source
        self._rng = random.Random()
        place = options.daemon
        self._me = roster.Member(
            place.vm,
            identity.new_incarnation(time_source, self._rng),
            options.listen.advertised or options.listen.peers,
            options.upstream.service,
            place.region,
            place.failure_domain,
            place.capacity,
        )
        self._event_log = event_log
        self._metrics = metrics.SidecarMetrics()
        self._stopping = False
        self.stop_wanted = asyncio.Event()
        self.versions = versions.Versions(
            platform.decode, self._version_changed, self._event_log
        )
        self.egress = egress.Egress(
            platform.names,
            time_source,
            f'{place.vm}/{self._me.incarnation}',
            options.upstream.drain,
            MAX_BODY_BYTES,
            self._slots_changed,
            self._event_log,
        )
        self.fleet = fleet.Fleet(
            self._me,
            self.egress,
            self.versions,
            time_source,
            self._rng,
            self._event_log,
        )
        self.ingress = ingress.Ingress(
            names=platform.names,
            service=options.upstream.service,
            fleet=self.fleet,
            versions=self.versions,
            retry_table=retrybudget.RetryTable(
                retrybudget.Policy(
                    options.retries.ratio,
                    options.retries.window,
                    options.retries.slack,
                )
            ),
            clock=time_source,
            rng=self._rng,
            event_log=self._event_log,
            metrics=self._metrics,
        )
        self._feed = platform.new_feed(
            options.store, time_source, self._metrics.count_store_call
        )
        self._registrar = registrar.Registrar(
            self.egress,
            departures.Departures(
                self._feed, place.vm, time_source, self._event_log
            ),
        )
        self._callers = self._new_server(self.ingress)
        self._servers = (
            (
                self._new_server(platform.new_readiness(self.is_ready)),
                options.listen.readiness,
            ),
            (
                self._new_server(
                    platform.new_announcements(
                        self._registrar,
                        options.upstream.service,
                        options.upstream.address,
                    )
                ),
                options.listen.announcements,
            ),
            (
                self._new_server(platform.new_metrics(self._render)),
                options.listen.metrics,
            ),
        )
        self._tasks = []
        self._timer = None
        self._before = 0
        self._reader = None
        self._versions_follower = self._new_follower(
            platform.configuration_table,
            self._configuration_rows,
            self._configuration_rows,
            VERSIONS_PACE,
            self._feed_of_versions,
        )

    @property
    def vm(self):
        """Name of this daemon's VM."""
        return self._me.vm

    @property
    def incarnation(self):
        """This start of the daemon."""
        return self._me.incarnation

    @property
    def options(self):
        """The `options.Options` in force."""
        return self._options

    def is_ready(self):
        """Return whether callers are to send requests here."""
        return bool(self.versions.number) and not self._stopping

    async def start(self):
        """Listen, join the fleet, and follow the configuration."""
        for server, bind in self._servers:
            await server.start(bind)
        await self.fleet.peer_server.start(self._options.listen.peers)
        await self._callers.start(self._options.listen.callers)
        self.egress.start()
        self._event_log.record(
            'daemon.start',
            service=self._me.service,
            address=self._me.address,
            failure_domain=self._me.failure_domain,
        )
        members = self._new_follower(
            MEMBERS_TABLE,
            self._all_members,
            self._changed_members,
            MEMBERS_PACE,
            lambda works: None,
        )
        self._tasks.append(backgroundtasks.spawn(members.run()))
        self._tasks.append(backgroundtasks.spawn(self._registrar.recall()))
        self._tasks.append(backgroundtasks.spawn(self._enlist()))
        self._sweep()

    async def stop(self):
        """Turn callers away, finish what runs, and end.

        Returns:
            Ids of the requests that were cut.
        """
        began = self._clock.monotonic()
        grace = self._options.stop.grace
        self._stopping = True
        self._event_log.record(
            'daemon.stop', in_flight=len(self.ingress.in_flight)
        )
        self._callers.drain(listening=True)
        for task in self._tasks:
            task.cancel()
        self._read_versions()
        await asyncio.sleep(GOODBYE_S)
        self.fleet.announce_shutdown()
        leaving = backgroundtasks.spawn(
            self._feed.remove(MEMBERS_TABLE, self._me.vm)
        )
        await asyncio.sleep(TURNED_AWAY_S - GOODBYE_S)
        # Whoever still comes is refused at once, so that what runs can end.
        self.ingress.closing = True
        self._callers.drain()
        self._callers.close_idle()
        while self._is_busy():
            await asyncio.sleep(STOP_POLL_S)
            if self._clock.monotonic() - began >= grace * CUT_SHARE:
                break
        cut = self.ingress.cancel_all()
        self.fleet.peer_server.closing = True
        await asyncio.sleep(CLOSING_S)
        leaving.cancel()
        await self.close()
        self._event_log.record('daemon.stopped', cut=cut)
        self._event_log.flush()
        return cut

    def reload(self, options):
        """Take other settings; what can't change while running is named.

        Args:
            options: `Ok(options.Options)` or `Error(errors.Invalid)`.
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
        fixed = [
            name
            for name in ('daemon', 'listen', 'upstream', 'store')
            if getattr(options.ok, name) != getattr(self._options, name)
        ]
        self._options = options.ok
        self._event_log.record('settings.changed', needs_restart=fixed)

    # Wiring

    def _new_server(self, handler):
        return callserver.Server(
            handler,
            self._clock,
            bodymemory.Budget(REQUEST_BYTES),
            bodymemory.Budget(ANSWER_BYTES),
        )

    def _feed_of_versions(self, works):
        self.fleet.feed_failing = not works

    def _new_follower(self, table, whole, changed, pace, state):
        return tablewatcher.TableWatcher(
            self._feed,
            table,
            whole,
            changed,
            pace,
            state,
            self._rng,
            self._event_log,
        )

    def _configuration_rows(self, rows):
        for row in rows:
            if row.key == self._platform.configuration_key and row.value:
                self.versions.apply(row.value, 'store')

    def _all_members(self, rows):
        self._changed_members(rows)
        self.fleet.roster.complete = True
        named = {row.key for row in rows}
        for vm in tuple(self.fleet.roster.members):
            if vm not in named and not self.fleet.is_linked(vm):
                self.fleet.remove_member(vm)

    def _changed_members(self, rows):
        for row in rows:
            if row.value is None:
                self.fleet.remove_member(row.key)
                continue
            member = roster.decode(row.value)
            if member.is_ok():
                self.fleet.add_member(member.ok)
            else:
                self._event_log.record(
                    'member.invalid', peer=row.key, detail=member.error.reason
                )

    def _version_changed(self, configuration, source):
        limits = configuration.limits
        self._metrics.version.set({}, configuration.mesh.number)
        self._callers.max_head_bytes = limits.head_bytes
        self._callers.timeouts = callserver.Timeouts(
            head=limits.head_timeout, idle=limits.idle_timeout
        )
        self.fleet.announce_version(self._before, source)
        self._before = configuration.mesh.number

    def _slots_changed(self):
        self._event_log.record('gate.slots', slots=self.egress.slots.slots)
        self.fleet.broadcast_load()

    async def _enlist(self):
        """Write this daemon's own row, until it is written."""
        while True:
            result = await self._feed.put(
                MEMBERS_TABLE, self._me.vm, roster.encode(self._me)
            )
            if result.is_ok():
                self._event_log.record('member.enlisted')
                return
            await asyncio.sleep(WRITE_PAUSE_S * self._rng.uniform(0.5, 1.5))

    def _sweep(self):
        now = self._clock.monotonic()
        self.fleet.sweep()
        self._read_versions()
        self.ingress.cancel_expired(now)
        self._event_log.flush()
        self._timer = asyncio.get_running_loop().call_later(
            SWEEP_S, self._sweep
        )

    def _read_versions(self):
        """Follow the platform's versions, or leave that to other readers."""
        reads = self.fleet.should_read_versions and not self._stopping
        if reads and self._reader is None:
            self._reader = backgroundtasks.spawn(self._versions_follower.run())
        elif not reads and self._reader is not None:
            self._reader.cancel()
            self._reader = None

    def _render(self):
        load = self.egress.load()
        self._metrics.running.set({}, load.running)
        self._metrics.waiting.set({}, load.waiting)
        self._metrics.slots.set({}, load.slots)
        self._metrics.links.set({}, self.fleet.linked_count)
        return self._metrics.render()

    # Stopping

    def _is_busy(self):
        return (
            bool(self.ingress.in_flight)
            or self.egress.busy
            or self.fleet.peer_server.busy
            or self._callers.busy
        )

    async def close(self):
        """End everything at once."""
        self._stopping = True
        self._read_versions()
        for task in self._tasks:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self.egress.close()
        self.fleet.close()
        for server, _ in self._servers:
            await server.close()
        await self._callers.close()


async def serve(path, platform):
    """Run a sidecar until it is asked to stop.

    Args:
        path: Of the settings file.
        platform: A `Platform`.

    Returns:
        Exit status.
    """
    loaded = settings.load(path)
    output = eventlog.NonBlockingOutput(1)
    if loaded.is_error():
        output.write(f'{loaded.error.where}: {loaded.error.reason}\n')
        output.drain()
        return 3
    time_source = clock.SystemClock()
    event_log = eventlog.EventLog(time_source, output)
    daemon = Daemon(loaded.ok, platform, time_source, event_log)
    logs.configure(loaded.ok.logs.level, daemon.vm, daemon.incarnation, output)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: event_log.record(
            'daemon.error',
            detail=context['message'],
            error=repr(context.get('exception')),
        )
    )
    await daemon.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop_wanted.set)
    watcher = SettingsWatcher(path, daemon)
    loop.add_signal_handler(signal.SIGHUP, watcher.look)
    backgroundtasks.spawn(watcher.run())
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    await daemon.stop_wanted.wait()
    await daemon.stop()
    return 0


class SettingsWatcher:
    """Sees when the settings file changes.

    Args:
        path: Of the file.
        daemon: The `Daemon` to tell.
    """

    def __init__(self, path, daemon):
        self._path = pathlib.Path(path)
        self._daemon = daemon
        self._stamp = self._stat()

    def look(self):
        """Read the file again."""
        self._stamp = self._stat()
        self._daemon.reload(settings.load(self._path))

    async def run(self):
        """Look whenever the file's time or size changes."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            if self._stat() != self._stamp:
                self.look()

    def _stat(self):
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size
