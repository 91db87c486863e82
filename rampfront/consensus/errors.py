"""What a member raises for data that no member would have written."""


class ConsensusError(ValueError):
    """Data from outside that is not what a member writes."""


class RemoteProtocolError(ConsensusError):
    """A message, or a state within one, that no member would send: the receiver counts it and drops it."""
