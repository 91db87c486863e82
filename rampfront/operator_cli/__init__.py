"""The operators' command line of the system, and a small system on loopback.

A command calls nodes at their control addresses and prints their answers; it makes no decisions for the system. Nodes
never import this package.

Reading order:

- `__main__`, `commands`: the entry point, and the list of commands; `exit_codes`, `errors`: how a command ends.
- `control_client`: calls to nodes, with retries; `control_answers`: the required fields of an answer.
- `session`: shared by the commands: the options `--at`, `--within` and `--json`, output, and the messages of failures.
- `configuration_commands`, `zone_commands`, `view_commands`: the commands by subject. They use these modules, which do
  no I/O: `configuration_diff`, `evacuations`, `system_status` (with `status_text`), `explanation` (with
  `explanation_text`).
- `snapshot_commands`: the commands `snapshot ...`; `snapshot_file` has the file format, `restore_plan` computes the
  changes of a restore.
- `start_commands`: `up` and `completion`; `local_system` runs the nodes as child processes, `local_layout` assigns
  their addresses and settings, `sample_configuration` is their first configuration.
- `formatting`: tables and durations as text.
"""
