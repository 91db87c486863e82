"""The objects that the parts of an edge node share."""

import asyncio
from collections.abc import Callable

from ..net.decision_driver import DecisionDriver
from ..net.transaction_gateway import TransactionExchange, TransactionGateway
from ..terms import slotted
from .configuration import NodeConfiguration
from .log import Log


@slotted
class NodeContext:
    """The objects that the parts of an edge node share.

    Attributes:
        loop: the event loop.
        configuration: the node's configuration.
        driver: the decision driver, with the clock and the timers.
        gateway: accepts transactions.
        draw: returns a random number between two bounds.
        log: the event log.
    """

    loop: asyncio.AbstractEventLoop
    configuration: NodeConfiguration
    driver: DecisionDriver[TransactionExchange]
    gateway: TransactionGateway
    draw: Callable[[float, float], float]
    log: Log
