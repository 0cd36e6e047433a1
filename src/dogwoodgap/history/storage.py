"""The process on a storage VM, which keeps turns on its disk."""

import gc
import logging
import math
import signal
import sys
import uuid

import anyio
import anyio.abc

from dogwoodgap import (
    background,
    clock,
    events,
    exceptions,
    exposition,
    ingress,
    peers,
    process_signals,
    settings,
    source,
)
from dogwoodgap.history import (
    blocking,
    completeness,
    disk,
    emptying,
    handlers,
    log,
    marks,
    registry,
    repair,
    retention_routes,
)
from dogwoodgap_wire import ttypes

BYTES_PER_MB = 1_000_000
BIND_TIMEOUT_S = 10.0
"""Time to wait for the address while the process before this one still ends."""

LARGE_REQUEST_MB = 50.0
"""Memory for each large request at a time: a turn of 4 MB takes up to 24 MB while it is decoded and
written, and the process takes half of the memory of a VM of 160 MB."""

LARGE_REQUESTS = 3
"""Large requests at a time if memory is not limited."""

LAST_REPLIES_S = 0.05
"""Time to send the last replies of a stop."""

DISK_RETRY_DELAY_S = 1.0
CHECK_INTERVAL_S = 0.5
DISK_SHARE = 0.95
"""Part of the disk for the log; the rest is for the marks and what the file system needs."""

EXIT_UNAVAILABLE = 1


class StorageProcess:
    """One storage VM.

    Parameters
    ----------
    storage_settings : settings.StorageSettings
        Validated settings.
    store : source.FleetSource
        Reads the routes.
    storage_vms : source.StorageVms
        The registered storage VMs.
    removals : source.Removals
        Requests to empty storage VMs.
    files : disk.Disk, optional
        The disk; the folder of the settings by default.
    run_blocking : blocking.Run, optional
        Runs functions that block on the disk.
    """

    def __init__(
        self,
        storage_settings: settings.StorageSettings,
        store: source.FleetSource,
        storage_vms: source.StorageVms,
        removals: source.Removals,
        files: disk.Disk | None = None,
        run_blocking: blocking.Run = blocking.run_in_thread,
    ):
        self.settings = storage_settings
        section = storage_settings.storage
        self.boot = uuid.uuid4().hex[:12]
        self.node = storage_settings.node.name
        self.copies = section.tolerated_losses + 1
        if files is None:
            files = disk.Folder(folder_of(storage_settings))
        limit_bytes = section.disk_limit_mb * BYTES_PER_MB * DISK_SHARE or math.inf
        self.turn_log = log.TurnLog(files, limit_bytes, run_blocking)
        self.turn_log.on_failure = report_failing
        self.turn_log.on_recovery = report_working
        self.marks = marks.Marks(files, run_blocking)
        self.completeness = completeness.Completeness(handlers.MAX_EXPIRY_MS)
        local = source.StorageVm(
            self.node, section.bind, storage_settings.node.data_centre, self.boot
        )
        self.registry = registry.Registry(storage_vms, local)
        self.retention = retention_routes.RetentionFollower(store, self.registry)
        self.removals = removals
        self.repairer: repair.Repairer | None = None
        self.emptying: emptying.Emptying | None = None
        self.is_stopping = False
        self.stop_requested = anyio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        async with anyio.create_task_group() as tasks:
            start_scope = anyio.CancelScope()
            await tasks.start(self.watch_signals, start_scope)
            with start_scope:
                network = peers.PeerNetwork(self.settings.storage.bind, tasks)
                network.bind_timeout_s = BIND_TIMEOUT_S
                network.large_frames = anyio.Semaphore(self.large_requests)
                await self.start(network, tasks)
                await tasks.start(network.serve)
                if self.settings.storage.metrics_bind:
                    server = ingress.Server(self.serve_metrics)
                    address = self.settings.storage.metrics_bind
                    await tasks.start(server.serve, address, BIND_TIMEOUT_S)
                self.report_start()
                self.follow(tasks)
            await self.stop_requested.wait()
            await self.stop()
            tasks.cancel_scope.cancel()

    @property
    def large_requests(self) -> int:
        """Return how many large requests are handled at a time."""
        limit_mb = self.settings.storage.memory_limit_mb
        return max(1, int(limit_mb / LARGE_REQUEST_MB)) if limit_mb else LARGE_REQUESTS

    async def start(self, network: peers.Network, tasks: anyio.abc.TaskGroup) -> None:
        """Read the disk, and prepare to answer messages.

        A disk that is in use is served at once. Otherwise the platform's store has to tell whether
        this VM had stored turns before.
        """
        background.start_service(tasks, self.retention.run)
        while True:
            if await self.open():
                break
            await anyio.sleep(DISK_RETRY_DELAY_S)
        background.start_service(tasks, self.turn_log.run)
        network.hello = lambda: ttypes.Member(node=self.node, boot=self.boot)
        self.repairer = repair.Repairer(
            self.turn_log,
            self.registry,
            network,
            self.copies,
            self.is_complete,
            self.retention.stored_s,
        )
        self.emptying = emptying.Emptying(self.removals, self.registry, self.repairer, self.marks)
        answers = handlers.TurnHandlers(
            self.turn_log, self.registry, self.repairer, self.completeness, self.refusal
        )
        answers.register(network)

    def follow(self, tasks: anyio.abc.TaskGroup) -> None:
        """Register this VM, and start to repair copies."""
        background.start_service(tasks, self.emptying.run)
        background.start_service(tasks, self.join)
        background.start_service(tasks, self.repairer.run)
        background.start_service(tasks, self.watch_completeness)

    async def join(self) -> None:
        """Keep the entry of this VM, unless it was emptied and may be removed."""
        await self.emptying.known.wait()
        await self.registry.run()

    async def open(self) -> bool:
        """Read the disk and its marks; return whether that succeeded."""
        try:
            is_in_use = await self.marks.exist()
            if not is_in_use:
                await self.retention.known.wait()
                await self.registry.read_until_available()
                await self.begin_disk()
            recovered = await self.turn_log.open()
            if recovered.is_damaged:
                await self.marks.begin(self.lost_until_ms())
                events.emit(
                    events.Event.DISK_DAMAGED,
                    "turns on the disk are damaged; other storage VMs send them again; replace the "
                    "disk if this is seen again",
                    level=logging.ERROR,
                    node=self.node,
                )
            until_ms = await self.marks.incomplete_until_ms(self.lost_until_ms())
        except OSError as error:
            report_failing(f"cannot be read: {error}")
            return False
        self.completeness = completeness.Completeness(until_ms)
        return True

    async def begin_disk(self) -> None:
        """Begin to use a new disk, which replaces a lost one if this VM is registered."""
        is_lost = self.registry.entry is not None
        await self.marks.begin(self.lost_until_ms() if is_lost else 0)
        if is_lost:
            events.emit(
                events.Event.DISK_LOST,
                "the disk is empty, but this VM stored turns before; other storage VMs send them",
                level=logging.WARNING,
                node=self.node,
                first_start=self.settings.storage.first_start,
            )

    def refusal(self) -> str:
        """Return why this VM accepts no turns, or an empty string."""
        is_leaving = self.is_stopping or (self.emptying is not None and self.emptying.is_leaving)
        return "this storage VM is leaving" if is_leaving else ""

    def lost_until_ms(self) -> int:
        """Return when all turns that were stored so far have expired, in Unix ms."""
        return log.now_ms() + round(self.retention.stored_s() * 1000)

    def is_complete(self) -> bool:
        """Return whether this VM has every turn that was ever stored on it and has not expired."""
        return self.completeness.is_complete(log.now_ms())

    async def watch_completeness(self) -> None:
        """Note on the disk when no turn is missing any longer."""
        while self.completeness.incomplete_until_ms:
            others = {vm.node for vm in self.registry.others}
            is_repaired = self.registry.known.is_set() and self.completeness.is_repaired(
                others, self.copies
            )
            if is_repaired or self.is_complete():
                self.completeness.complete()
                events.emit(
                    events.Event.STORAGE_COMPLETE,
                    "no turn is missing on this storage VM",
                    node=self.node,
                    is_repaired=is_repaired,
                )
                try:
                    await self.marks.complete()
                except OSError as error:
                    report_failing(f"cannot be marked as complete: {error}")
            await anyio.sleep(CHECK_INTERVAL_S)

    async def serve_metrics(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Respond to a metrics scrape."""
        exposition.kept_turns.set(len(self.turn_log.index))
        exposition.kept_bytes.set(self.turn_log.index.file_bytes)
        exposition.short_turns.set(self.repairer.short_turns() if self.repairer else 0)
        exposition.storage_complete.set(self.is_complete())
        exposition.repaired_turns.set(self.repairer.sent_turns if self.repairer else 0)
        await exposition.serve_storage(request, responder)

    async def watch_signals(
        self, start_scope: anyio.CancelScope, *, task_status: anyio.abc.TaskStatus
    ) -> None:
        """Request a stop at the first SIGTERM or SIGINT, also while the process starts."""
        async with process_signals.receive() as received:
            task_status.started()
            async for signum in received:
                if signum != signal.SIGHUP:
                    self.stop_requested.set()
                    start_scope.cancel()

    async def stop(self) -> None:
        """Accept no more turns, and finish those that are being stored."""
        started_at = clock.now()
        self.is_stopping = True
        events.emit(events.Event.STORAGE_STOPPING, "graceful stop started", node=self.node)
        try:
            if self.emptying is not None:
                await self.turn_log.flush()
        except exceptions.HistoryUnavailableError as error:
            report_failing(f"unfinished at the stop: {error.detail}")
        await anyio.sleep(LAST_REPLIES_S)
        events.emit(
            events.Event.STORAGE_STOPPED,
            "storage VM stopped",
            node=self.node,
            took_s=round(clock.now() - started_at, 3),
        )

    def report_start(self) -> None:
        """Log the start."""
        events.emit(
            events.Event.STORAGE_STARTED,
            "storage VM listening",
            node=self.node,
            boot=self.boot,
            turns=len(self.turn_log.index),
            bytes=self.turn_log.index.file_bytes,
            is_complete=self.is_complete(),
        )


def folder_of(storage_settings: settings.StorageSettings) -> str:
    """Return the folder of the disk; raises ``SettingsInvalidError`` if there is none."""
    if not storage_settings.node.data_folder:
        raise exceptions.SettingsInvalidError(
            "node.data_folder is empty; set it to a folder on the disk for retained turns"
        )
    return storage_settings.node.data_folder


def report_failing(reason: str) -> None:
    """Log that the disk refuses something."""
    events.emit(
        events.Event.DISK_FAILING,
        "the disk refuses turns; check its space and its health",
        level=logging.ERROR,
        detail=reason,
    )


def report_working() -> None:
    """Log that the disk accepts turns again."""
    events.emit(events.Event.DISK_WORKING, "the disk accepts turns again")


def run_process(process: StorageProcess) -> None:
    """Run a storage VM until it has stopped; exits with 1 if it cannot listen on an address."""
    try:
        anyio.run(process.run, backend_options={"use_uvloop": True})
        gc.freeze()  # the exit would collect garbage several times
    except* exceptions.AddressUnavailableError as group:
        error: BaseException = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        events.emit(
            events.Event.STORAGE_START_FAILED,
            "the storage VM cannot start",
            level=logging.ERROR,
            detail=str(error),
        )
        sys.exit(EXIT_UNAVAILABLE)
