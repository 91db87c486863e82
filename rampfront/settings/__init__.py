"""What a process is given from outside, read and checked: its settings file, and the configurations of operators.

Both end as immutable, typed rows that the rest of the system uses. Nothing is read from the text a second time, and a
text that cannot be read becomes a `Fault` with the path of the field and the reason.

Reading order:

- `errors`: `FieldError` within the package, `Fault` for its callers.
- `scalars`, `limits`: durations, addresses and numbers as text, and how large they may be.
- `field_types`: how dacite reads small tables, and how fields are described for the reference page.
- Settings: `settings_file` (the tables as they stand in the file), `process_settings` (the result), `settings_reader`.
- Configuration: `configuration` (the result, with look-ups of routes and customers), `configuration_reader`, and below
  it `route_reader` and `customer_reader`, which read their many rows by hand with `json_fields`.
- `reference`, `__main__`: the reference page and the command that checks a file.
"""
