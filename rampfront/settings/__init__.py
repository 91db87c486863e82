"""Reads and checks the input of a process: its settings file, and the configurations that operators send.

Both become immutable, typed objects, which the rest of the system uses in place of the text. Invalid input gives a
`Fault` with the path of the field and the reason.

Reading order:

- `errors`: `FieldError` is raised within the package, `Fault` is returned to its callers.
- `scalars`, `limits`: the parsers of durations, addresses and numbers, and the largest valid values.
- `field_types`: the field types for dacite, which reads small tables, and the descriptions for the reference page.
- Settings: `settings_file` (the tables of the file), `process_settings` (the result), `settings_reader`.
- Configuration: `configuration` (the result, with look-ups of routes and customers), `configuration_reader`, and the
  modules that it calls, `route_reader` and `customer_reader`, which read their many rows without dacite, with
  `json_fields`.
- `reference`, `__main__`: the reference page, and the command that checks a file.
"""
