"""The laboratory of the whole system: real proxy nodes, emulation of all other parts, scheduled faults, a judge."""
