"""Exceptions for external data that a correct member would not have written."""


class ConsensusError(ValueError):
    """Base class: external data is malformed or inconsistent."""


class RemoteProtocolError(ConsensusError):
    """A message, or a state within one, is invalid. The receiver counts and drops it."""


class RecordError(ConsensusError):
    """A stored record passes its checksum, but this member cannot have written it.

    An operator must look into this. It is not treated as a lost disk, because the record may still hold votes and
    entries that the member has acknowledged.
    """
