"""The laboratory of the whole system: real pilots, stand-ins of everything else, faults by schedule, a judge."""
