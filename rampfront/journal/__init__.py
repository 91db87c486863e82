"""The journal of once-only transactions: what was sent is known after a crash, and is not sent again.

A submission of a once-only transaction leaves once its intent is durable, and how it ended is recorded behind it. An
intent without an outcome is in doubt: it may have run. The files are an append-only log of segments; records are made
durable in batches, by one thread.

To read, in this order:

1. `records` has the three kinds of record and their bytes; `record_scanner` reads a file, a damaged one too.
2. `write_ahead_rule` says when a submission may leave. `intent_index` is what the records say of all submissions.
3. `segment_store` owns the files and their thread, as `journal_settings` asks. `durable_intent_journal` joins all these
   to the node, behind `net/once_only.py`.
4. `journal_reader` reads a folder for the command line.

`records`, `record_scanner`, `write_ahead_rule` and `intent_index` do no I/O and read no clock. `docs/journal.md` has
the design and the operators' page.
"""
