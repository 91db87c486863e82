"""Tenants' quotas, shared as counts (RFC 0015): `tide.Tide` in each pilot, `gauge.Gauge` at the holder."""
