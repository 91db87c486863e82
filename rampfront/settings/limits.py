"""Limits on the values of settings and configurations."""

from .scalars import SEC

MAX_TARGET_EXCESS_NS = 60 * SEC  # a `Target` that exceeds its `GiveUp` by this much or more is invalid (PROTOCOL.md)
UNLIMITED_CONNECTIONS = 2**31  # replaces a `MaxConns` of 0; `read_integer` also accepts every int below it as is
MAX_REVISION_CHARS = 19  # of the text of `Revision`
MAX_REVISION = (1 << 53) - 1  # the largest that the consensus log carries; 0 means "no configuration" there
