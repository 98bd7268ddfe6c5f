"""Dispatches the packets of one connection to the client side, the worker side or the text commands."""

from __future__ import annotations

import logging

from ..waiting.job import JobOutcome
from .codec import Packet, TextCommand, encode, encode_error
from .connection import Connection
from .errors import ErrorCode, PacketRejectedError
from .jobs import Jobs
from .packet_types import ARGUMENT_COUNTS, PacketType
from .stale_updates import StaleUpdates
from .submission import SUBMISSION_KINDS
from .text_commands import TextCommands
from .worker import Worker
from .worker_transport import WorkerTransport

log = logging.getLogger("oxbowyard.gearman")

MAX_NAME_BYTES = 512  # of a function name or a client id, which are kept in memory
MAX_TIMEOUT_DIGITS = 9  # of a worker's own time limit in seconds
EXCEPTIONS_OPTION = b"exceptions"

LATE_OUTCOMES = {
    PacketType.WORK_COMPLETE: JobOutcome.SERVED,
    PacketType.WORK_FAIL: JobOutcome.FAILED,
    PacketType.WORK_EXCEPTION: JobOutcome.FAILED,
}
GRAB_TYPES = frozenset({PacketType.GRAB_JOB, PacketType.GRAB_JOB_UNIQ, PacketType.GRAB_JOB_ALL})
WORK_TYPES = frozenset(
    {
        PacketType.WORK_STATUS,
        PacketType.WORK_COMPLETE,
        PacketType.WORK_FAIL,
        PacketType.WORK_EXCEPTION,
        PacketType.WORK_DATA,
        PacketType.WORK_WARNING,
    }
)


class Peer:
    """The peer of one connection, which becomes a worker with the first packet that only workers send."""

    def __init__(
        self,
        connection: Connection,
        jobs: Jobs,
        transport: WorkerTransport,
        commands: TextCommands,
        stale_updates: StaleUpdates,
    ) -> None:
        self._connection = connection
        self._jobs = jobs
        self._transport = transport
        self._workers = transport.workers
        self._commands = commands
        self._stale_updates = stale_updates
        self._worker: Worker | None = None

    def handle(self, item: Packet | TextCommand) -> None:
        """Handle a packet or a text command. Errors are sent to the peer as ERROR packets."""
        try:
            if isinstance(item, TextCommand):
                self._connection.send(self._commands.answer(item.text).encode())
            else:
                self._handle_packet(item)
        except PacketRejectedError as error:
            self._send_error(error.code, error.text)
        except Exception:
            log.exception("internal error while handling a packet: packet=%s", item)
            self._send_error(ErrorCode.INTERNAL, "internal fault")

    def disconnect(self) -> None:
        """Remove the client and worker of a closed connection. Jobs that only this client waits for end."""
        self._jobs.remove_client(self._connection)
        if self._worker is not None:
            self._workers.unregister(self._worker)
            self._worker = None

    def _handle_packet(self, packet: Packet) -> None:
        if packet.type not in ARGUMENT_COUNTS:
            self._send_error(ErrorCode.UNKNOWN_COMMAND, f"packet type {packet.type} is not served here")
            return
        packet_type = PacketType(packet.type)
        arguments = packet.arguments()
        if arguments is None:
            text = f"{packet_type.name} with a wrong number of arguments"
            self._send_error(ErrorCode.INVALID_PACKET, text)
        elif packet_type in SUBMISSION_KINDS:
            self._jobs.submit(packet_type, arguments, self._connection)
        elif packet_type in GRAB_TYPES:
            self._transport.grab(self._as_worker(), packet_type)
        elif packet_type in WORK_TYPES:
            self._update_job(packet_type, arguments)
        else:
            self._handle_client_packet(packet_type, arguments)

    def _handle_client_packet(self, packet_type: PacketType, arguments: list[bytes]) -> None:
        """Handle a query or an option, or pass a worker's packet on."""
        match packet_type:
            case PacketType.ECHO_REQ:
                self._connection.send(encode(PacketType.ECHO_RES, arguments[0]))
            case PacketType.OPTION_REQ:
                self._set_option(arguments[0])
            case PacketType.GET_STATUS:
                self._connection.send(self._jobs.status(arguments[0]))
            case PacketType.GET_STATUS_UNIQUE:
                self._connection.send(self._jobs.status_by_unique(arguments[0]))
            case _:
                self._handle_worker_packet(packet_type, arguments)

    def _handle_worker_packet(self, packet_type: PacketType, arguments: list[bytes]) -> None:
        """Handle a packet in which a worker describes its state or abilities."""
        match packet_type:
            case PacketType.SET_CLIENT_ID:
                self._set_client_id(arguments[0])
            case PacketType.CAN_DO:
                self._workers.add_ability(self._as_worker(), _check_name(arguments[0]))
            case PacketType.CAN_DO_TIMEOUT:
                self._add_limited_ability(arguments[0], arguments[1])
            case PacketType.CANT_DO:
                self._workers.remove_ability(self._as_worker(), arguments[0])
            case PacketType.RESET_ABILITIES:
                self._workers.reset_abilities(self._as_worker())
            case PacketType.PRE_SLEEP:
                self._as_worker().sleep()
            case PacketType.ALL_YOURS:
                pass  # the worker serves no other server, which makes no difference here

    def _as_worker(self) -> Worker:
        if self._worker is None:
            self._worker = self._workers.register(self._connection)
        return self._worker

    def _update_job(self, packet_type: PacketType, arguments: list[bytes]) -> None:
        if self._worker is not None and self._transport.apply_update(self._worker, packet_type, arguments):
            return
        # The job may have exceeded the worker's own time limit, or WORK_FAIL follows a WORK_EXCEPTION. Or the
        # worker got the job on an earlier connection or from an earlier process of this scheduler, and the
        # outcome of the job is indeterminate.
        body = arguments[1] if packet_type is PacketType.WORK_COMPLETE else b""
        outcome = LATE_OUTCOMES.get(packet_type)
        if outcome is not None and self._jobs.deliver_late_result(arguments[0], outcome, body):
            return
        self._stale_updates.record(packet_type, arguments[0], self._connection.address)

    def _set_option(self, option: bytes) -> None:
        if option != EXCEPTIONS_OPTION:
            raise PacketRejectedError(ErrorCode.UNKNOWN_OPTION, "the only option is exceptions")
        self._connection.accepts_exceptions = True
        self._connection.send(encode(PacketType.OPTION_RES, option))

    def _set_client_id(self, name: bytes) -> None:
        text = _check_name(name).decode("utf-8", "replace")
        if not text or not text.isprintable() or " " in text:
            raise PacketRejectedError(ErrorCode.INVALID_CLIENT_ID, "a client id is one printable word")
        self._as_worker().client_id = text

    def _add_limited_ability(self, function: bytes, limit: bytes) -> None:
        if not limit.isdigit() or len(limit) > MAX_TIMEOUT_DIGITS:
            raise PacketRejectedError(ErrorCode.INVALID_TIMEOUT, "the time-out is not a number of seconds")
        self._workers.add_ability(self._as_worker(), _check_name(function), float(limit))

    def _send_error(self, code: ErrorCode, text: str) -> None:
        self._connection.send(encode_error(code, text))


def _check_name(name: bytes) -> bytes:
    if len(name) > MAX_NAME_BYTES:
        raise PacketRejectedError(ErrorCode.NAME_TOO_LONG, f"a name holds {MAX_NAME_BYTES} bytes at most")
    return name
