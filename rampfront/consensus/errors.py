"""What a member raises for data from outside that no member would have written."""


class ConsensusError(ValueError):
    """Data from outside that is not what a member writes."""


class RemoteProtocolError(ConsensusError):
    """A message, or a state within one, that no member would send: the receiver counts it and drops it."""


class RecordError(ConsensusError):
    """A stored record that passes its checksum, but is none that this member can have written.

    That is a fault to be seen by an operator. It is not a lost disk: what the member promised is still in there.
    """
