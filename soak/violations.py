"""The rules that a run is checked against, and the record of a violation."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """A rule that a run may violate; each member names the violation."""

    NO_RESPONSE = "no_response"
    LATE_RESPONSE = "late_response"
    FORGED_RESPONSE = "forged_response"
    UNSAFE_RETRY = "unsafe_retry"
    REJECTED_AFTER_EXECUTION = "rejected_after_execution"
    SENT_TO_DRAINING_BACKEND = "sent_to_draining_backend"
    SENT_AFTER_DISCONNECT = "sent_after_disconnect"
    TIMEOUT_TOO_LONG = "timeout_too_long"
    UNEXPECTED_EXIT = "unexpected_exit"
    MEMORY_EXCEEDED = "memory_exceeded"
    NOT_READY = "not_ready"
    STALLED_CLIENT_NOT_CLOSED = "stalled_client_not_closed"
    ERROR_LOGGED = "error_logged"
    CLOSE_DELIMITED_RESPONSES_LOST = "close_delimited_responses_lost"


@dataclass(slots=True, frozen=True)
class Violation:
    """One violation of a rule.

    Attributes:
        rule: The rule.
        at: When it was violated, on the monotonic clock.
        detail: A description, with the ids and times to search for in the logs.
    """

    rule: Rule
    at: float
    detail: str
