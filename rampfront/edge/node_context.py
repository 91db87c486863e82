"""What the parts of an edge node have in common."""

import asyncio
from collections.abc import Callable

from ..net.decision_driver import DecisionDriver
from ..net.transaction_gateway import TransactionExchange, TransactionGateway
from ..terms import slotted
from .configuration import NodeConfiguration
from .log import Log


@slotted
class NodeContext:
    """What each part of an edge node may need of it.

    Attributes:
        loop: the event loop.
        configuration: what the node is started with.
        driver: the decision driver, with the clock and the timers.
        gateway: accepts transactions.
        draw: draws a number between two.
        log: the event log.
    """

    loop: asyncio.AbstractEventLoop
    configuration: NodeConfiguration
    driver: DecisionDriver[TransactionExchange]
    gateway: TransactionGateway
    draw: Callable[[float, float], float]
    log: Log
