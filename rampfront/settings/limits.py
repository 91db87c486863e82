"""Limits on the values of settings and configurations."""

from .scalars import SEC

MAX_TARGET_EXCESS_NS = 60 * SEC  # a `Target` that exceeds its `GiveUp` by so much is invalid (PROTOCOL.md)
UNLIMITED_CONNECTIONS = 2**31  # stands for a `MaxConns` of 0; also one above the largest integer accepted directly
MAX_REVISION_CHARS = 19  # of the text of `Revision`
MAX_REVISION = (1 << 53) - 1  # what the consensus log carries; 0 stands for "no configuration" there
