"""The operators' command line of the system, and a small system on loopback.

A command asks nodes by their control address, reads, and prints; it decides nothing. It is never imported by a node.

Reading order:

- `__main__`, `commands`: how it is started, and the list of commands; `exit_codes`, `errors`: how a command ends.
- `control_client`: calls to nodes, with retries; `control_answers`: what an answer must contain.
- `session`: what the commands share: the options `--at`, `--within` and `--json`, output, and what failures print.
- `configuration_commands`, `zone_commands`, `view_commands`: the commands, by what they are about. Behind them, without
  I/O: `configuration_diff`, `evacuations`, `system_status` (with `status_text`), `explanation` (with
  `explanation_text`).
- `snapshot_commands`: the commands `snapshot ...`; `snapshot_file` is the file's format, `restore_plan` what a restore
  would change.
- `start_commands`: `up` and `completion`; `local_system` runs the nodes as child processes, `local_layout` gives them
  their addresses and settings, `sample_configuration` their first configuration.
- `formatting`: tables and durations as text.
"""
