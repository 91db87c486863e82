"""The mapping of decisions to syslog messages."""

from rampfront.syslog.decision_messages import DecisionRecord, Origin, decision_message
from rampfront.syslog.message_encoder import encode_message


def test_a_message_names_account_product_transaction_and_server():
    parameters = (("account", 'a"]\\'), ("product", "fetch"), ("txn", "t"), ("box", None))
    record = DecisionRecord("declined", parameters, 1796158429 * 10**9)
    encoded = encode_message(decision_message(record, 7, Origin("n0", "12", 32473)))
    assert encoded.decode("utf-8-sig") == (
        "<133>1 2026-12-01T20:53:49.000000Z n0 rampfront 12 declined "
        '[decision@32473 account="a\\"\\]\\\\" product="fetch" txn="t"]'
        '[meta sequenceId="7"] \ufefftxn declined'
    )
