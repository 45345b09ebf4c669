"""The states of a client's connection; `connection` changes them, `eviction` enforces the time limits."""

from __future__ import annotations

from enum import IntEnum, StrEnum


class ConnectionState(IntEnum):
    """The state of a client's connection.

    A connection starts in NEW. It enters READING with the first bytes of a request, and SERVING with the
    complete request (directly, if all of it is received at once). After the response it enters IDLE, or
    WAITING if the next request has already been received, or READING if only its beginning has. A rejection,
    or a response that ends the connection, leads to CLOSING; the end of the connection, or an abort, to
    CLOSED.

    The values count from 0: they are indices of `ConnectionRegistry.deadlines_by_state`.
    """

    NEW = 0  # connected, and nothing has been received yet
    READING = 1  # the beginning of a request has been received
    SERVING = 2  # a response is pending; the deadline of the request is the time limit
    IDLE = 3  # between two requests
    WAITING = 4  # the next request is complete, but the client may not have read the previous response
    CLOSING = 5  # after the last response; the client has not closed the connection yet
    CLOSED = 6  # aborted or ended


# The states are module constants too: in Python 3.11, looking up an enum member in its class takes several
# times as long, and each request changes the state two or three times.
NEW, READING, SERVING, IDLE, WAITING, CLOSING, CLOSED = ConnectionState


class CloseReason(StrEnum):
    """Why the proxy closes a client's connection."""

    EVICTED = "evicted"  # there are too many connections
    TIMED_OUT = "timed_out"  # the time limit of its state has passed
    REJECTED = "rejected"  # a request is malformed or can't be served
    LAST_RESPONSE = "last_response"  # the client or a shutdown allows no further request on it
    SHUTDOWN = "shutdown"  # it was new or idle when a shutdown closed connections
    NOT_READING = "not_reading"  # the client does not read its response, and the memory is used up
    FLOOD = "flood"  # the client sent too many bytes after a rejection
    CLIENT_DISCONNECTED = "client_disconnected"  # detected by polling the socket, as reading has stopped
