"""The names of the events of the event log."""

from __future__ import annotations

from enum import StrEnum


class Event(StrEnum):
    """The names of the events, as the log shows them."""

    STARTED = "started"
    REQUEST_RECEIVED = "request_received"
    ATTEMPT_STARTED = "attempt_started"
    ATTEMPT_REJECTED = "attempt_rejected"
    ATTEMPT_WRITTEN = "attempt_written"
    ATTEMPT_FINISHED = "attempt_finished"
    RESPONSE_SENT = "response_sent"
    REQUEST_REJECTED = "request_rejected"
    CLIENT_DISCONNECTED = "client_disconnected"
    CONNECTION_CLOSED = "connection_closed"
    ENDPOINTS_UPDATED = "endpoints_updated"
    WATCH_OPENED = "watch_opened"
    WATCH_RESPONDED = "watch_responded"
    WATCH_CLOSED = "watch_closed"
    SHUTDOWN = "shutdown"
    VIOLATION = "violation"
    DROPPED = "dropped"
