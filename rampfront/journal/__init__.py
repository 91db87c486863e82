"""The write-ahead journal of once-only transactions, which prevents a second submission after a crash.

A submission of a once-only transaction is sent once its intent is durable, and its outcome is recorded when it ends. An
intent without an outcome is in doubt, as the transaction may have run. The files are an append-only log in segments;
one thread makes records durable in batches.

Reading order:

1. `records` defines the three kinds of record and their encoding; `record_scanner` reads a file, even a damaged one.
2. `write_ahead_rule` decides when a submission may be sent. `intent_index` holds the state of all submissions, as
   recorded.
3. `segment_store` owns the files and the thread that writes them, according to `journal_settings`.
   `durable_intent_journal` connects all these to the node, as the journal of `net/once_only.py`.
4. `journal_reader` reads a folder for the command line.

`records`, `record_scanner`, `write_ahead_rule` and `intent_index` do no I/O and read no clock. `docs/journal.md` has
the design and the operators' page.
"""
